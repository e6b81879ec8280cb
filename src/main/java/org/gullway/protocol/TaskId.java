package org.gullway.protocol;

/** One task of a job. */
public record TaskId(String job, int index) {
    /** Reads the form of the protocol, {@code job/index} with an index from 0. */
    public static TaskId parse(String wire) throws MalformedException {
        int slash = wire.lastIndexOf('/');
        try {
            int index = Integer.parseInt(wire, slash + 1, wire.length(), 10);
            if (slash > 0 && index >= 0) {
                return new TaskId(wire.substring(0, slash), index);
            }
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            // reported below
        }
        throw new MalformedException("leg is not of the form run-000412/3");
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}

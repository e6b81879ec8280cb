package org.gullway.protocol;

/** One task of a job. */
public record TaskId(String job, int index) {
    /** Reads the form of the protocol, {@code job/index} with an index from 0. */
    public static TaskId parse(String wire) throws MalformedMessageException {
        int slash = wire.lastIndexOf('/');
        try {
            int index = Integer.parseInt(wire, slash + 1, wire.length(), 10);
            if (slash > 0 && index >= 0) {
                return new TaskId(wire.substring(0, slash), index);
            }
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            // reported below
        }
        throw new MalformedMessageException("leg is not of the form run-000412/3");
    }

    /** Whether these characters are this id as it is written on the wire. */
    boolean isWrittenAs(char[] characters, int offset, int length) {
        int slash = job.length();
        if (length <= slash + 1 || characters[offset + slash] != '/') {
            return false;
        }
        for (int i = 0; i < slash; i++) {
            if (characters[offset + i] != job.charAt(i)) {
                return false;
            }
        }
        long number = 0;
        for (int i = slash + 1; i < length; i++) {
            int digit = characters[offset + i] - '0';
            if (digit < 0 || digit > 9 || number > Integer.MAX_VALUE) {
                return false;
            }
            number = 10 * number + digit;
        }
        return number == index;
    }

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof TaskId id && index == id.index && job.equals(id.job));
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}

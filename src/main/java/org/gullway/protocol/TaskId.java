package org.gullway.protocol;

/**
 * Identifies one task of a job. The methods {@code equals} and {@code hashCode} are written out, since the default
 * methods of records are linked at run time, which slows a controller's start.
 */
public record TaskId(String job, int index) {
    /** Parses the form that the protocol uses: {@code job/index}, with an index from 0. */
    public static TaskId parse(String text) throws MalformedMessageException {
        int slash = text.lastIndexOf('/');
        try {
            int index = Integer.parseInt(text, slash + 1, text.length(), 10);
            if (slash > 0 && index >= 0) {
                return new TaskId(text.substring(0, slash), index);
            }
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            // Not of the form: falls through to the exception below.
        }
        throw new MalformedMessageException("leg is not a job id, a slash and an index from 0, such as run-000412/3");
    }

    /**
     * Returns true if {@link #parse} of these characters would return an equal id. May return false for such characters
     * if the index is not written with ASCII digits only, for example {@code +3}.
     */
    boolean matches(char[] characters, int offset, int length) {
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

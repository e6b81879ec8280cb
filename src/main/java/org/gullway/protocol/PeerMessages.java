package org.gullway.protocol;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;

/** What the messages between controllers have in common: a version byte, the content, and nothing after it. */
final class PeerMessages {
    private PeerMessages() {}

    /**
     * Opens a message whose version is expected.
     *
     * @param content what the message holds, for errors
     */
    static DataInputStream open(byte[] body, int version, String content)
            throws IOException, MalformedMessageException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
        if (in.readUnsignedByte() != version) {
            throw new MalformedMessageException("unknown version of " + content);
        }
        return in;
    }

    /** Reads the number of items and checks it. */
    static int readCount(DataInputStream in, int most, String content) throws IOException, MalformedMessageException {
        int count = in.readUnsignedShort();
        if (count > most) {
            throw new MalformedMessageException("more than " + most + " " + content);
        }
        return count;
    }

    /** Checks that the message ends here. */
    static void requireEnd(DataInputStream in, String content) throws IOException, MalformedMessageException {
        if (in.read() >= 0) {
            throw new MalformedMessageException("bytes after " + content);
        }
    }

    /** The error for a message that ends too early. */
    static MalformedMessageException truncated(String content) {
        return new MalformedMessageException("truncated " + content);
    }
}

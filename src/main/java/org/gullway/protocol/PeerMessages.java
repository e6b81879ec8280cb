package org.gullway.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The common format of messages between controllers: a version byte, then the content, with no bytes after it. */
final class PeerMessages {
    private PeerMessages() {}

    /** Writes the content of a message. */
    interface ContentWriter {
        void write(DataOutputStream out) throws IOException;
    }

    /** Reads the content of a message. */
    interface ContentReader<T> {
        T read(DataInputStream in) throws IOException, MalformedMessageException;
    }

    static byte[] encode(int version, int expectedBytes, ContentWriter writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(expectedBytes);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(version);
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a message, which must have the given version and no bytes after its content.
     *
     * @param content the name of the content in error messages
     */
    static <T> T decode(byte[] body, int version, String content, ContentReader<T> reader)
            throws MalformedMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            if (in.readUnsignedByte() != version) {
                throw new MalformedMessageException(
                        "unsupported version of the message with " + content + ", expected " + version);
            }
            T message = reader.read(in);
            if (in.read() >= 0) {
                throw new MalformedMessageException("unexpected bytes after " + content);
            }
            return message;
        } catch (IOException e) {
            throw new MalformedMessageException("truncated or malformed " + content, e);
        }
    }

    /**
     * Reads a text. The format of {@link DataInputStream#readUTF} also allows halves of surrogate pairs, which no other
     * message or record can contain.
     */
    static String readText(DataInputStream in) throws IOException, MalformedMessageException {
        String text = in.readUTF();
        if (!MessageFields.isEncodable(text)) {
            throw new MalformedMessageException("a text with half of a surrogate pair");
        }
        return text;
    }

    static void writeUnsignedLong(DataOutputStream out, Count count) throws IOException {
        out.writeLong(count.unsignedBits());
    }

    static Count readUnsignedLong(DataInputStream in) throws IOException {
        return Count.ofUnsignedBits(in.readLong());
    }

    /** Reads the number of items and checks it against the limit. */
    static int readCount(DataInputStream in, int max, String content) throws IOException, MalformedMessageException {
        int count = in.readUnsignedShort();
        if (count > max) {
            throw new MalformedMessageException("got " + count + " " + content + ", the limit is " + max);
        }
        return count;
    }
}

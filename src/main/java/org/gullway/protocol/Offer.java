package org.gullway.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Spare room that fitted nothing in one controller's queue, on its way to a peer. */
public record Offer(String machine, long session, List<String> askedAlready) {
    private static final int VERSION = 1;
    private static final int MOST_ASKED = 64;

    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeUTF(machine);
            out.writeLong(session);
            out.writeByte(askedAlready.size());
            for (String name : askedAlready) {
                out.writeUTF(name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    public static Offer decode(byte[] body) throws MalformedException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            if (in.readUnsignedByte() != VERSION) {
                throw new MalformedException("unknown version of an offer");
            }
            String machine = in.readUTF();
            long session = in.readLong();
            int asked = in.readUnsignedByte();
            if (asked > MOST_ASKED) {
                throw new MalformedException("an offer that was passed on too often");
            }
            List<String> names = new ArrayList<>(asked);
            for (int i = 0; i < asked; i++) {
                names.add(in.readUTF());
            }
            if (in.read() >= 0) {
                throw new MalformedException("bytes after an offer");
            }
            return new Offer(machine, session, List.copyOf(names));
        } catch (IOException e) {
            throw new MalformedException("a cut-off offer");
        }
    }
}

package org.gullway.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Spare room that fitted nothing in one controller's queue, on its way to a peer, together with others. */
public record Offer(String machine, long session, List<String> askedAlready) {
    public static final int MOST_TOGETHER = 128;
    private static final int VERSION = 2;
    private static final int MOST_ASKED = 64;

    /** The body of a message to a peer; it holds at most {@link #MOST_TOGETHER}, which the caller sees to. */
    public static byte[] encode(List<Offer> offers) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 * offers.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeShort(offers.size());
            for (Offer offer : offers) {
                out.writeUTF(offer.machine);
                out.writeLong(offer.session);
                out.writeByte(offer.askedAlready.size());
                for (String name : offer.askedAlready) {
                    out.writeUTF(name);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads what {@link #encode} wrote.
     *
     * @throws MalformedException if it is cut off, too long, or of another version
     */
    public static List<Offer> decode(byte[] body) throws MalformedException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            if (in.readUnsignedByte() != VERSION) {
                throw new MalformedException("unknown version of offers");
            }
            int count = in.readUnsignedShort();
            if (count > MOST_TOGETHER) {
                throw new MalformedException("too many offers together");
            }
            List<Offer> offers = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                offers.add(read(in));
            }
            if (in.read() >= 0) {
                throw new MalformedException("bytes after offers");
            }
            return offers;
        } catch (IOException e) {
            throw new MalformedException("cut-off offers");
        }
    }

    private static Offer read(DataInputStream in) throws IOException, MalformedException {
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
        return new Offer(machine, session, List.copyOf(names));
    }
}

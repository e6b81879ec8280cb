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
public record ResourceOffer(String machine, long agentEpoch, List<String> askedPeers) {
    public static final int MAX_PER_MESSAGE = 128;
    private static final int VERSION = 2;
    private static final int MAX_ASKED_PEERS = 64;

    /** The body of a message to a peer; it holds at most {@link #MOST_TOGETHER}, which the caller sees to. */
    public static byte[] encode(List<ResourceOffer> offers) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 * offers.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeShort(offers.size());
            for (ResourceOffer offer : offers) {
                out.writeUTF(offer.machine);
                out.writeLong(offer.agentEpoch);
                out.writeByte(offer.askedPeers.size());
                for (String name : offer.askedPeers) {
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
     * @throws MalformedMessageException if it is cut off, too long, or of another version
     */
    public static List<ResourceOffer> decode(byte[] body) throws MalformedMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            if (in.readUnsignedByte() != VERSION) {
                throw new MalformedMessageException("unknown version of offers");
            }
            int count = in.readUnsignedShort();
            if (count > MAX_PER_MESSAGE) {
                throw new MalformedMessageException("too many offers together");
            }
            List<ResourceOffer> offers = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                offers.add(read(in));
            }
            if (in.read() >= 0) {
                throw new MalformedMessageException("bytes after offers");
            }
            return offers;
        } catch (IOException e) {
            throw new MalformedMessageException("cut-off offers");
        }
    }

    private static ResourceOffer read(DataInputStream in) throws IOException, MalformedMessageException {
        String machine = in.readUTF();
        long agentEpoch = in.readLong();
        int asked = in.readUnsignedByte();
        if (asked > MAX_ASKED_PEERS) {
            throw new MalformedMessageException("an offer that was passed on too often");
        }
        List<String> names = new ArrayList<>(asked);
        for (int i = 0; i < asked; i++) {
            names.add(in.readUTF());
        }
        return new ResourceOffer(machine, agentEpoch, List.copyOf(names));
    }
}

package org.gullway.protocol;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Free resources of a machine that fit nothing in one controller's queue, offered to a peer.
 *
 * @param agentEpoch the epoch of the machine's agent in which the offer is valid
 * @param declinedBy controllers whose queues had no use for them
 */
public record ResourceOffer(String machine, long agentEpoch, List<String> declinedBy) {
    public static final int MAX_PER_MESSAGE = 128;
    private static final int VERSION = 2;
    private static final int MAX_DECLINED_BY = 64;
    private static final int EXPECTED_BYTES = 64;
    private static final String CONTENT = "resource offers";

    /** Encodes a message to a peer. The caller sees to it that there are at most {@link #MAX_PER_MESSAGE}. */
    public static byte[] encode(List<ResourceOffer> offers) {
        return PeerMessages.encode(VERSION, EXPECTED_BYTES * offers.size(), out -> {
            out.writeShort(offers.size());
            for (ResourceOffer offer : offers) {
                offer.writeTo(out);
            }
        });
    }

    private void writeTo(DataOutputStream out) throws IOException {
        out.writeUTF(machine);
        out.writeLong(agentEpoch);
        out.writeByte(declinedBy.size());
        for (String name : declinedBy) {
            out.writeUTF(name);
        }
    }

    /**
     * Reads what {@link #encode} wrote.
     *
     * @throws MalformedMessageException if it is truncated, too long, or of another version
     */
    public static List<ResourceOffer> decode(byte[] body) throws MalformedMessageException {
        return PeerMessages.decode(body, VERSION, CONTENT, ResourceOffer::readAll);
    }

    private static List<ResourceOffer> readAll(DataInputStream in) throws IOException, MalformedMessageException {
        int count = PeerMessages.readCount(in, MAX_PER_MESSAGE, CONTENT);
        List<ResourceOffer> offers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            offers.add(read(in));
        }
        return offers;
    }

    private static ResourceOffer read(DataInputStream in) throws IOException, MalformedMessageException {
        String machine = in.readUTF();
        long agentEpoch = in.readLong();
        int count = in.readUnsignedByte();
        if (count > MAX_DECLINED_BY) {
            throw new MalformedMessageException("an offer that was passed on more than " + MAX_DECLINED_BY + " times");
        }
        List<String> names = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            names.add(in.readUTF());
        }
        return new ResourceOffer(machine, agentEpoch, List.copyOf(names));
    }
}

package org.gullway.protocol;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An offer of a machine's free resources to a peer, made because no task in the offering controller's queue fits them.
 *
 * @param agentEpoch the epoch of the machine's agent in which the offer is valid
 * @param declinedBy controllers that could not use the resources. Each controller adds itself before it sends the
 *     offer; the list is empty for an offer of its own machines that a controller has not sent yet
 */
public record ResourceOffer(String machine, Count agentEpoch, List<String> declinedBy) {
    public static final int MAX_PER_MESSAGE = 128;
    private static final int VERSION = 2;
    private static final int MAX_DECLINES = 64;
    private static final int EXPECTED_OFFER_BYTES = 64;
    private static final String CONTENT = "resource offers";

    /** Encodes a message to a peer. The caller must not pass more than {@link #MAX_PER_MESSAGE} offers. */
    public static byte[] encode(List<ResourceOffer> offers) {
        return PeerMessages.encode(VERSION, EXPECTED_OFFER_BYTES * offers.size(), out -> {
            out.writeShort(offers.size());
            for (ResourceOffer offer : offers) {
                offer.writeTo(out);
            }
        });
    }

    private void writeTo(DataOutputStream out) throws IOException {
        out.writeUTF(machine);
        PeerMessages.writeUnsignedLong(out, agentEpoch);
        out.writeByte(declinedBy.size());
        for (String name : declinedBy) {
            out.writeUTF(name);
        }
    }

    /**
     * Decodes a message of {@link #encode}.
     *
     * @throws MalformedMessageException if the message is truncated, has trailing bytes or another version, or has
     *     more than {@link #MAX_PER_MESSAGE} offers
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
        String machine = PeerMessages.readText(in);
        Count agentEpoch = PeerMessages.readUnsignedLong(in);
        int count = in.readUnsignedByte();
        if (count > MAX_DECLINES) {
            throw new MalformedMessageException(
                    "resource offer declined by " + count + " controllers, the limit is " + MAX_DECLINES);
        }
        List<String> names = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            names.add(PeerMessages.readText(in));
        }
        return new ResourceOffer(machine, agentEpoch, List.copyOf(names));
    }
}

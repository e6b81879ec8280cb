package org.gullway.coordination.scheduling;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.scheduling.BestEffortQueue.OutgoingOffers;
import org.gullway.protocol.ResourceOffer;

/** Keeps the resource offers received from peers and creates the offers to be sent to peers. */
final class PeerOffers {
    /**
     * The minimum time between two rounds of offers for this controller's machines. In one round each peer gets at most
     * one message, which offers many machines.
     */
    private static final Duration SEND_INTERVAL = Duration.ofMillis(500);

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final String self;
    private final Duration validity;
    private final RandomGenerator random;
    private final Map<String, ReceivedOffer> receivedByMachine = new HashMap<>();
    private Instant sentAt = Instant.MIN;
    /** Position of the first machine of the next round; 0 after a round in which all machines were offered. */
    private int firstOffered;

    private record ReceivedOffer(ResourceOffer offer, Instant validUntil) {}

    /** @param validity the time after receipt for which an offer from a peer may be used */
    PeerOffers(
            ClusterState clusterState,
            PlacementConstraints constraints,
            String self,
            Duration validity,
            RandomGenerator random) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.self = self;
        this.validity = validity;
        this.random = random;
    }

    void receive(List<ResourceOffer> offers, Instant now) {
        for (ResourceOffer offer : offers) {
            receivedByMachine.put(offer.machine(), new ReceivedOffer(offer, now.plus(validity)));
        }
    }

    boolean hasReceived() {
        return !receivedByMachine.isEmpty();
    }

    /**
     * Moves the received offers into the given map and drops those that are no longer valid: expired offers, and offers
     * of machines that are gone, do not accept tasks, or have an agent of another epoch.
     */
    void drainTo(Map<MachineRecord, ResourceOffer> offerByMachine, Instant now) {
        for (ReceivedOffer received : receivedByMachine.values()) {
            ResourceOffer offer = received.offer();
            MachineRecord machine = clusterState.machine(offer.machine());
            if (machine != null
                    && machine.isSchedulable()
                    && machine.agentEpoch().equals(offer.agentEpoch())
                    && now.isBefore(received.validUntil())) {
                offerByMachine.put(machine, offer);
            }
        }
        receivedByMachine.clear();
    }

    /** Returns whether the interval since this controller last offered its machines has elapsed. */
    boolean isSendingDue(Instant now) {
        return !sentAt.plus(SEND_INTERVAL).isAfter(now);
    }

    void markSent(Instant now) {
        sentAt = now;
    }

    /**
     * Offers each machine that still has enough free CPUs to a random peer that is not in the offer's list of
     * controllers that declined it. Each peer gets at most {@link ResourceOffer#MAX_PER_MESSAGE} offers; a machine is
     * not offered in this round if the peer chosen for it already gets that many. The next round begins with the
     * machines that follow, so that every machine is offered in turn.
     *
     * @param smallestTaskCpus the CPUs of the smallest task that waits in the queue of a peer
     */
    List<OutgoingOffers> outgoing(
            Map<MachineRecord, ResourceOffer> offerByMachine, Transaction transaction, double smallestTaskCpus) {
        List<MachineRecord> machines = offerByMachine.keySet().stream()
                .filter(machine -> constraints.freeCpus(machine, transaction) + EPSILON >= smallestTaskCpus)
                .collect(Collectors.toCollection(ArrayList::new));
        Collections.rotate(machines, -firstOffered);
        Map<String, List<ResourceOffer>> offersByPeer = new TreeMap<>();
        for (MachineRecord machine : machines) {
            addOffer(machine, offerByMachine.get(machine).declinedBy(), offersByPeer);
        }
        List<OutgoingOffers> outgoing = new ArrayList<>();
        offersByPeer.forEach((peer, offers) -> outgoing.add(new OutgoingOffers(peer, offers)));
        int offered = offersByPeer.values().stream().mapToInt(List::size).sum();
        firstOffered = offered == machines.size() ? 0 : (firstOffered + offered) % machines.size();
        return outgoing;
    }

    private void addOffer(
            MachineRecord machine, List<String> previouslyDeclinedBy, Map<String, List<ResourceOffer>> offersByPeer) {
        List<String> declinedBy = new ArrayList<>(previouslyDeclinedBy);
        declinedBy.add(self);
        List<String> peers = new ArrayList<>(clusterState.members().keySet());
        peers.removeAll(declinedBy);
        if (peers.isEmpty()) {
            return;
        }
        String peer = peers.get(random.nextInt(peers.size()));
        List<ResourceOffer> offers = offersByPeer.computeIfAbsent(peer, key -> new ArrayList<>());
        if (offers.size() < ResourceOffer.MAX_PER_MESSAGE) {
            offers.add(new ResourceOffer(machine.name(), machine.agentEpoch(), declinedBy));
        }
    }
}

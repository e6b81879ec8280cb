package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.protocol.ResourceOffer;

/**
 * This controller's own queue of best-effort jobs. Their tasks are placed on free resources of the machines whose
 * agents report here and of machines that peers offered; what fits nothing in this queue is offered to a random peer.
 */
public final class BestEffortQueue implements PlanningStep {
    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final JobBackoff backoff;
    private final String self;
    private final Supplier<List<MachineRecord>> schedulableMachines;
    private final Consumer<OutgoingOffers> offerSender;
    private final BestEffortPlacement placement;
    private final PeerOffers peerOffers;

    /** Offers on their way to a peer. */
    public record OutgoingOffers(String peer, List<ResourceOffer> offers) {}

    /**
     * The jobs with tasks that may start.
     *
     * @param own those in this controller's queue
     * @param othersWait whether there are any in other controllers' queues
     */
    private record WaitingJobs(List<JobRecord> own, boolean othersWait) {}

    /**
     * @param offerValidity how long an offer from a peer may be used
     * @param schedulableMachines the machines whose agents report here and that can be given tasks
     * @param offerSender sends offers to a peer
     */
    public BestEffortQueue(
            SchedulingContext context,
            ScavengerScheduler scavengerScheduler,
            String self,
            Duration offerValidity,
            RandomGenerator random,
            Supplier<List<MachineRecord>> schedulableMachines,
            Consumer<OutgoingOffers> offerSender) {
        this.clusterState = context.clusterState();
        this.constraints = context.constraints();
        this.backoff = context.backoff();
        this.self = self;
        this.schedulableMachines = schedulableMachines;
        this.offerSender = offerSender;
        this.placement = new BestEffortPlacement(context, scavengerScheduler);
        this.peerOffers = new PeerOffers(clusterState, constraints, self, offerValidity, random);
    }

    /** Takes offers from a peer, which the next scheduling cycle uses. */
    public void onOffers(List<ResourceOffer> offers, Instant now) {
        peerOffers.receive(offers, now);
    }

    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        schedule(transaction, schedulableMachines, context.now()).forEach(offerSender);
    }

    /** Places tasks on the given machines and those offered by peers, and returns the offers to send. */
    List<OutgoingOffers> schedule(Transaction transaction, Supplier<List<MachineRecord>> ownMachines, Instant now) {
        WaitingJobs waiting = waitingJobs(now);
        boolean offersOwn = waiting.othersWait() && peerOffers.isSendingDue(now);
        boolean usesOwn = !waiting.own().isEmpty() || offersOwn;
        if (!usesOwn && !peerOffers.hasReceived()) {
            return List.of();
        }
        Map<MachineRecord, ResourceOffer> offerByMachine = new LinkedHashMap<>();
        if (usesOwn) {
            addMachinesWithFreeCpus(ownMachines.get(), transaction, offerByMachine);
        }
        peerOffers.drainTo(offerByMachine, now);
        offerByMachine
                .keySet()
                .removeIf(machine -> clusterState.cordonedMachines().contains(machine.name()));
        placement.place(transaction, offerByMachine.keySet(), waiting.own(), now);
        if (offersOwn) {
            peerOffers.markSent(now);
        } else {
            // Offers of peers are passed on at once: the controller that made them limits their rate.
            offerByMachine.values().removeIf(offer -> offer.askedPeers().isEmpty());
        }
        return waiting.othersWait() ? peerOffers.outgoing(offerByMachine, transaction) : List.of();
    }

    private WaitingJobs waitingJobs(Instant now) {
        List<JobRecord> own = new ArrayList<>();
        boolean othersWait = false;
        for (JobRecord job : clusterState.jobs()) {
            if (!job.isReserved() && job.waitingTasks() > 0 && !backoff.isBackedOff(job, now)) {
                if (self.equals(job.owner())) {
                    own.add(job);
                } else {
                    othersWait = true;
                }
            }
        }
        return new WaitingJobs(own, othersWait);
    }

    private void addMachinesWithFreeCpus(
            List<MachineRecord> machines, Transaction transaction, Map<MachineRecord, ResourceOffer> offerByMachine) {
        for (MachineRecord machine : machines) {
            if (constraints.freeCpus(machine, transaction) > 0) {
                offerByMachine.put(machine, new ResourceOffer(machine.name(), machine.agentEpoch(), List.of()));
            }
        }
    }
}

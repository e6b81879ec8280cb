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
 * Schedules this controller's queue of best-effort jobs, that is the best-effort jobs that it owns. Tasks are placed on
 * free resources of the machines whose agents report to this controller and of machines that peers have offered. While
 * jobs of other controllers wait, free resources that remain are offered to random peers.
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

    /** Resource offers to be sent to a peer. */
    public record OutgoingOffers(String peer, List<ResourceOffer> offers) {}

    /**
     * The best-effort jobs that have waiting tasks for which their records have room, and are not backed off.
     *
     * @param ownJobs the jobs in this controller's queue
     * @param smallestPeerTaskCpus the CPUs of the smallest task of such jobs in the queues of other controllers;
     *     infinite if there are none
     */
    private record WaitingJobs(List<JobRecord> ownJobs, double smallestPeerTaskCpus) {
        boolean peersHaveWaitingJobs() {
            return smallestPeerTaskCpus < Double.POSITIVE_INFINITY;
        }
    }

    /**
     * @param self the node name of this controller
     * @param offerValidity the time after receipt for which an offer from a peer may be used
     * @param schedulableMachines supplies the machines whose agents report to this controller and that accept tasks
     * @param offerSender sends the offers of each scheduling cycle to the peers
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

    /** Receives offers from a peer. The next scheduling cycle uses them. */
    public void onOffers(List<ResourceOffer> offers, Instant now) {
        peerOffers.receive(offers, now);
    }

    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        schedule(transaction, schedulableMachines, context.now()).forEach(offerSender);
    }

    /**
     * Places tasks on the given machines and on those offered by peers.
     *
     * @param ownMachines supplies the machines whose agents report to this controller; called only if they are needed
     * @return the offers to send to peers
     */
    List<OutgoingOffers> schedule(Transaction transaction, Supplier<List<MachineRecord>> ownMachines, Instant now) {
        WaitingJobs waiting = waitingJobs(transaction, now);
        boolean offersOwnMachines = waiting.peersHaveWaitingJobs() && peerOffers.isSendingDue(now);
        boolean usesOwnMachines = !waiting.ownJobs().isEmpty() || offersOwnMachines;
        if (!usesOwnMachines && !peerOffers.hasReceived()) {
            return List.of();
        }
        Map<MachineRecord, ResourceOffer> offerByMachine = new LinkedHashMap<>();
        if (usesOwnMachines) {
            addMachinesWithFreeCpus(ownMachines.get(), transaction, offerByMachine);
        }
        peerOffers.drainTo(offerByMachine, now);
        offerByMachine
                .keySet()
                .removeIf(machine -> clusterState.cordonedMachines().contains(machine.name()));
        placement.place(transaction, offerByMachine.keySet(), waiting.ownJobs(), now);
        if (offersOwnMachines) {
            peerOffers.markSent(now);
        } else {
            // Offers that no controller has declined are those of this controller's machines, which are not offered
            // now. Offers from peers are forwarded without delay, because the controller that made them limits their
            // rate.
            offerByMachine.values().removeIf(offer -> offer.declinedBy().isEmpty());
        }
        return waiting.peersHaveWaitingJobs()
                ? peerOffers.outgoing(offerByMachine, transaction, waiting.smallestPeerTaskCpus())
                : List.of();
    }

    private WaitingJobs waitingJobs(Transaction transaction, Instant now) {
        List<JobRecord> ownJobs = new ArrayList<>();
        double smallestPeerTaskCpus = Double.POSITIVE_INFINITY;
        for (JobRecord job : clusterState.jobs()) {
            if (!job.isReserved()
                    && job.waitingTasks() > 0
                    && !backoff.isBackedOff(job, now)
                    && hasStartableTask(job, transaction)) {
                if (self.equals(job.owner())) {
                    ownJobs.add(job);
                } else {
                    smallestPeerTaskCpus =
                            Math.min(smallestPeerTaskCpus, job.request().cpus());
                }
            }
        }
        return new WaitingJobs(ownJobs, smallestPeerTaskCpus);
    }

    private static boolean hasStartableTask(JobRecord storedJob, Transaction transaction) {
        JobRecord job = transaction.job(storedJob.request().id());
        return job != null && transaction.recordCapacity().startableTasks(job) > 0;
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

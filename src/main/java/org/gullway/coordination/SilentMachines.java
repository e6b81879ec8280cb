package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.MachineRecord.Disposition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What silence says about the machines that this controller commands: one that has missed a report, has lost a lease
 * while it answered commands, or leaves commands without an answer, takes no more tasks until it is heard again; one that stays so is given up. Until
 * then the leader would book urgent tasks there, which wait until the machine is returned.
 */
final class SilentMachines {
    private static final Logger LOG = LoggerFactory.getLogger(SilentMachines.class);
    /** A worker waits so long for an answer before it turns to another controller. */
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(4);
    /** Reports come up to a quarter late, and a little more on their way. */
    private static final Duration LATE = Duration.ofSeconds(2);
    /** A command that had no answer for so long was not just cut short by a connection that ended. */
    private static final Duration DEAF = Duration.ofSeconds(3);

    private static final Duration EVERY = Duration.ofMillis(500);

    private final ClusterView view;
    private final Incarnation self;
    private final Duration reportInterval;
    private final PeerZones neighbours;
    private final Map<String, Worker> workers;
    /** When each zone was last seen cut off. */
    private final Map<String, Instant> cutOffAt = new HashMap<>();

    private Instant proposedAt = Instant.MIN;
    /** Since when reports are taken without a break; before that, silence says nothing about a worker. */
    private Instant listeningSince = Instant.MAX;

    SilentMachines(
            ClusterView view,
            Incarnation self,
            Duration reportInterval,
            PeerZones neighbours,
            Map<String, Worker> workers) {
        this.view = view;
        this.self = self;
        this.reportInterval = reportInterval;
        this.neighbours = neighbours;
        this.workers = workers;
    }

    void entitled(boolean entitled, Instant now) {
        if (!entitled) {
            listeningSince = Instant.MAX;
        } else if (listeningSince.equals(Instant.MAX)) {
            listeningSince = now;
        }
    }

    /** How long a machine has to be silent before it is given up, if others are well. */
    private Duration givenUpAfter() {
        return reportInterval.multipliedBy(2).plus(ANSWER_LIMIT);
    }

    void propose(Transaction draft, Instant now) {
        if (proposedAt.plus(EVERY).isAfter(now)) {
            return;
        }
        proposedAt = now;
        Instant late = now.minus(reportInterval.multipliedBy(5).dividedBy(4)).minus(LATE);
        if (!listeningSince.isBefore(late)) {
            // After an outage of the state store all workers have been refused for a while (simulated day 99336).
            return;
        }
        Instant deaf = now.minus(DEAF);
        Instant limit = now.minus(givenUpAfter());
        List<MachineRecord> candidates = new ArrayList<>();
        Map<String, Boolean> zoneHeard = new HashMap<>();
        boolean othersWell = false;
        for (Map.Entry<String, Worker> entry : workers.entrySet()) {
            Worker worker = entry.getValue();
            MachineRecord record = view.machine(entry.getKey());
            if (record == null || !record.up() || !self.equals(record.controller())) {
                continue;
            }
            boolean heard = worker.deafSince() == null
                    && !worker.mute()
                    && !worker.reported().isBefore(late);
            if (record.fate() == Disposition.STAYS
                    && (worker.mute() || lostSince(worker).isBefore(worker.deafSince() == null ? late : deaf))) {
                mean(draft, record, Disposition.SILENT);
            } else if (record.fate() == Disposition.SILENT && heard) {
                mean(draft, record, Disposition.STAYS);
            }
            if (lostSince(worker).isBefore(limit)) {
                candidates.add(record);
            }
            zoneHeard.merge(record.zone(), heard, Boolean::logicalOr);
            othersWell |= heard;
        }
        if (listeningSince.isBefore(limit)) {
            giveUp(draft, candidates, zoneHeard, othersWell, now);
        }
    }

    private static boolean mean(Transaction draft, MachineRecord record, Disposition fate) {
        MachineRecord current = draft.machine(record.name());
        if (current == null || current.fate() == fate || !draft.canPutMachine(record.name())) {
            return false;
        }
        draft.putMachine(current.meant(fate));
        return true;
    }

    /**
     * Gives up machines that have been silent for several intervals, and those whose reports arrive but which answer
     * no command: such reports look alive, yet nothing can be started or stopped there. While all are silent or deaf
     * the fault is more likely to be this controller's own network, and then it takes longer.
     */
    private void giveUp(
            Transaction draft,
            List<MachineRecord> candidates,
            Map<String, Boolean> zoneHeard,
            boolean othersWell,
            Instant now) {
        Instant longLimit = now.minus(givenUpAfter()).minus(reportInterval.multipliedBy(4));
        Instant heldLimit = now.minus(givenUpAfter()).minus(neighbours.cancelLimit());
        zoneHeard.forEach((zone, heard) -> {
            if (!heard && isCutOff(zone)) {
                cutOffAt.put(zone, now);
            }
        });
        for (MachineRecord record : candidates) {
            Instant since = lostSince(workers.get(record.name()));
            // Once the zone is back its workers have their time to report again.
            boolean held = cutOffAt.getOrDefault(record.zone(), Instant.MIN).isAfter(now.minus(givenUpAfter()))
                    && since.isAfter(heldLimit)
                    && !holdsCancelled(record);
            if ((othersWell || since.isBefore(longLimit)) && !held && mean(draft, record, Disposition.LOST)) {
                LOG.info(
                        "gives up {} in {}, silent or deaf for {}",
                        record.name(),
                        record.zone(),
                        Duration.between(since, now));
            }
        }
    }

    /**
     * A zone of which nothing is heard, not even its controller, is most likely cut off: that controller keeps the
     * leases of the workers there (see {@link LeaseRenewalPolicy}), and their work is not lost (dong-xanh-fleet zone: half
     * of the jobs lost tasks of 90 s).
     */
    private boolean isCutOff(String zone) {
        List<String> controllers = neighbours.inZone(zone);
        return !controllers.isEmpty() && controllers.stream().noneMatch(view.members()::containsKey);
    }

    /** Tasks of cancelled jobs must be gone in time, and only the cloud can end them in a zone that is cut off. */
    private boolean holdsCancelled(MachineRecord record) {
        return view.placementsOn(record.name()).keySet().stream()
                .anyMatch(id -> view.job(id.task().job()).cancelled());
    }

    private static Instant lostSince(Worker worker) {
        return worker.deafSince() == null
                ? worker.heard()
                : Collections.min(List.of(worker.heard(), worker.deafSince()));
    }
}

package org.gullway.coordination.cancellation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.TaskStatus;

/**
 * Stop commands that a controller without a valid lease sends directly to the agents, and the attempts that the
 * responses show to be gone, that is, no longer live on their machines. A stop is repeated until a response shows that
 * the attempt is gone. Each machine has at most one batch in flight, unless {@link #reset} is called before the batch
 * ends.
 */
final class DirectStops {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAX_IN_FLIGHT = 32;

    private final ClusterState clusterState;
    private final Set<AttemptId> reportedGone = new HashSet<>();
    /** The earliest time of the next batch, by machine; {@link Instant#MAX} while a batch is in flight. */
    private final Map<String, Instant> nextBatchAt = new HashMap<>();

    private int inFlight;

    DirectStops(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Discards what responses have shown. Batches in flight still count until they end. */
    void reset() {
        reportedGone.clear();
        nextBatchAt.clear();
    }

    boolean isReportedGone(AttemptId attempt) {
        return reportedGone.contains(attempt);
    }

    /** Returns the batches to be sent now, whichever controller commands the machines. */
    List<CommandBatch> takeDueBatches(List<RemainingAttempt> remaining, Instant now) {
        List<CommandBatch> batches = new ArrayList<>();
        stopsByMachine(remaining).forEach((name, stops) -> {
            MachineRecord machine = clusterState.machine(name);
            if (machine.address() != null && inFlight < MAX_IN_FLIGHT && isDue(name, now)) {
                inFlight++;
                nextBatchAt.put(name, Instant.MAX);
                batches.add(new CommandBatch(
                        name, machine.address(), clusterState.fencingToken(), machine.agentEpoch(), stops, now));
            }
        });
        return batches;
    }

    private Map<String, List<AgentCommand>> stopsByMachine(List<RemainingAttempt> remaining) {
        Map<String, List<AgentCommand>> stops = new LinkedHashMap<>();
        for (RemainingAttempt attempt : remaining) {
            if (!isReportedGone(attempt.id())) {
                AttemptId id = attempt.id();
                stops.computeIfAbsent(attempt.machine(), name -> new ArrayList<>())
                        .add(AgentCommand.stop(id.task(), id.attempt(), Duration.ZERO));
            }
        }
        return stops;
    }

    private boolean isDue(String machine, Instant now) {
        return !nextBatchAt.getOrDefault(machine, Instant.MIN).isAfter(now);
    }

    /** Called when a batch has a response or has failed without one. */
    void onBatchEnded(CommandBatch batch, Instant now) {
        inFlight--;
        nextBatchAt.computeIfPresent(batch.machine(), (name, inFlightMarker) -> now.plus(RETRY_DELAY));
    }

    /** Marks the attempts as gone that an agent's response shows to be gone. */
    void onResponse(Heartbeat response, List<RemainingAttempt> remaining) {
        Set<AttemptId> live = new HashSet<>();
        for (TaskStatus task : response.tasks()) {
            if (!task.isEnded()) {
                live.add(new AttemptId(task.task(), task.attempt()));
            }
        }
        for (RemainingAttempt attempt : remaining) {
            if (attempt.machine().equals(response.machine()) && isGone(attempt, response.agentEpoch(), live)) {
                // A start that arrives later does not keep the task running. Without a valid lease, a controller does
                // not renew the agent's lease while the start may still arrive. Every response that does renew the
                // lease stops the cancelled tasks that the heartbeat lists.
                reportedGone.add(attempt.id());
            }
        }
    }

    private static boolean isGone(RemainingAttempt attempt, Count agentEpoch, Set<AttemptId> live) {
        int byEpoch = agentEpoch.compareTo(attempt.agentEpoch());
        return byEpoch > 0 || (byEpoch == 0 && !live.contains(attempt.id()));
    }
}

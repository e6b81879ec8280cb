package org.gullway.coordination.agents;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.AttemptId;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.MessageLimits;
import org.gullway.protocol.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The attempts that an agent listed in its newest message. An agent lists an attempt until it is told to forget it, and
 * one message can list at most {@link MessageLimits#MAX_LISTED_ATTEMPTS} attempts.
 */
final class ListedAttempts {
    private static final Logger LOG = LoggerFactory.getLogger(ListedAttempts.class);

    private Map<AttemptId, TaskStatus> tasks = Map.of();
    /** For each ended attempt: the fencing token that the agent reported when this controller first saw the end. */
    private final Map<AttemptId, Count> fencingTokenAtEnd = new HashMap<>();

    private int heldBackStarts;

    Map<AttemptId, TaskStatus> tasks() {
        return tasks;
    }

    /** Replaces the list by that of a newer message and returns the ids of the attempts in it. */
    Set<AttemptId> update(Heartbeat heartbeat) {
        Map<AttemptId, TaskStatus> next = new HashMap<>();
        for (TaskStatus task : heartbeat.tasks()) {
            AttemptId id = new AttemptId(task.task(), task.attempt());
            next.put(id, task);
            if (LOG.isDebugEnabled()) {
                logPhaseChange(tasks.get(id), task, heartbeat.machine());
            }
            if (task.isEnded()) {
                fencingTokenAtEnd.putIfAbsent(id, heartbeat.fencingToken());
            }
        }
        fencingTokenAtEnd.keySet().retainAll(next.keySet());
        tasks = next;
        return next.keySet();
    }

    private static void logPhaseChange(TaskStatus before, TaskStatus task, String machine) {
        if (before == null || before.phase() != task.phase()) {
            LOG.debug(
                    "task changed its phase machine={} task={} attempt={} phase={} cause={}",
                    machine,
                    task.task(),
                    task.attempt(),
                    task.phase(),
                    task.cause());
        }
    }

    /** Called when the agent has begun a new epoch, in which it has forgotten all attempts of earlier ones. */
    void onNewAgentEpoch() {
        fencingTokenAtEnd.clear();
    }

    /**
     * Returns whether the agent may forget an ended attempt. An attempt is kept until the agent has confirmed a higher
     * fencing token than it had when the end was first seen. Until then, a duplicate start could still arrive and start
     * the forgotten attempt again. That does no harm if the task is completed and its job is done: the attempt ends at
     * once, and the job has no other tasks and was not cancelled.
     *
     * @param jobDone whether the job is done if the attempt completed its task
     * @param confirmedToken the fencing token in the agent's newest message
     */
    boolean mayForget(AttemptId id, TaskStatus task, boolean jobDone, Count confirmedToken) {
        if (jobDone && task.cause() == TaskStatus.Cause.DONE) {
            return true;
        }
        Count tokenAtEnd = fencingTokenAtEnd.get(id);
        return tokenAtEnd != null && confirmedToken.isGreaterThan(tokenAtEnd);
    }

    /** Records how many starts were left out of the agent's commands, since it cannot list more attempts. */
    void onStartsPlanned(int heldBack) {
        heldBackStarts = heldBack;
    }

    boolean hasHeldBackStarts() {
        return heldBackStarts > 0;
    }

    /** Returns whether ended attempts have to be forgotten soon so that further attempts can be started. */
    boolean isNearlyFull() {
        return tasks.size() > MessageLimits.MAX_PLACED_ATTEMPTS;
    }

    /**
     * Returns the fencing token that the agent has to surpass so that the list can be shortened, or 0 if it need not
     * be. See {@link #mayForget}.
     */
    Count fencingTokenToSurpass() {
        if (!isNearlyFull()) {
            return Count.ZERO;
        }
        Count highest = Count.ZERO;
        for (Count token : fencingTokenAtEnd.values()) {
            highest = Count.max(highest, token);
        }
        return highest;
    }
}

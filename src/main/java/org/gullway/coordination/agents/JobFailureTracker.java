package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;

/**
 * Distinguishes machines that fail the tasks of any job from jobs that fail on any machine. Jobs that were submitted
 * with a mistake fail until they are cancelled, which says nothing about the machines.
 */
final class JobFailureTracker {
    private static final Duration FAILURE_WINDOW = Duration.ofMinutes(2);
    /** A machine that failed tasks of so many other jobs, with no success in between, is faulty. */
    private static final int FAULTY_MACHINE_MIN_JOBS = 2;
    /** A job that failed on so many machines here and has completed nothing fails by itself, not by the machines. */
    private static final int FAILING_JOB_MIN_MACHINES = 3;

    private final ClusterState clusterState;
    /** Jobs that have failed lately here, and whether they do so on every machine. */
    private final Map<String, Boolean> failsEverywhere = new HashMap<>();

    JobFailureTracker(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Updates the failing jobs from the recent failures of these agents, which must be all that have any. */
    void update(Collection<AgentState> agents, Instant now) {
        Map<String, Integer> machineCounts = new HashMap<>();
        for (AgentState agent : agents) {
            agent.failures()
                    .recentlyFailedJobs(now, FAILURE_WINDOW)
                    .forEach(job -> machineCounts.merge(job, 1, Integer::sum));
        }
        // A verdict is kept while any machine remembers the job, whose record may end before that.
        failsEverywhere.keySet().retainAll(machineCounts.keySet());
        machineCounts.forEach((id, machines) -> {
            JobRecord job = clusterState.job(id);
            if (job != null) {
                boolean everywhere = machines >= FAILING_JOB_MIN_MACHINES
                        && job.completedTasks().size() == 0;
                failsEverywhere.put(id, everywhere);
            }
        });
    }

    /** Whether the failures on this agent's machine are the machine's own. */
    boolean isFaulty(AgentState agent, Instant now) {
        long jobs = agent.failures().recentlyFailedJobs(now, FAILURE_WINDOW).stream()
                .filter(job -> !failsEverywhere.getOrDefault(job, false))
                .count();
        return jobs >= FAULTY_MACHINE_MIN_JOBS;
    }
}

package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;

/**
 * Distinguishes faulty machines, which fail the tasks of any job, from misconfigured jobs, which fail on any machine.
 * A misconfigured job fails until it is cancelled, and its failures say nothing about the machines.
 */
final class JobFailureTracker {
    private static final Duration FAILURE_WINDOW = Duration.ofMinutes(2);
    /**
     * A machine on which tasks of this many jobs failed recently, with no success in between, is faulty. Jobs that are
     * at fault themselves do not count.
     */
    private static final int FAULTY_MACHINE_MIN_JOBS = 2;
    /** A job that failed on this many machines of this controller and has completed no task is at fault itself. */
    private static final int FAILING_JOB_MIN_MACHINES = 3;

    private final ClusterState clusterState;
    /** Jobs that have recently failed on machines of this controller, and whether each job itself is at fault. */
    private final Map<String, Boolean> jobsAtFault = new HashMap<>();

    JobFailureTracker(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /**
     * Updates the failing jobs from the recent failures of these agents. The collection must contain all agents that
     * have failures.
     */
    void update(Collection<AgentState> agents, Instant now) {
        Map<String, Integer> machineCounts = new HashMap<>();
        for (AgentState agent : agents) {
            agent.failures()
                    .recentlyFailedJobs(now, FAILURE_WINDOW)
                    .forEach(job -> machineCounts.merge(job, 1, Integer::sum));
        }
        // The entry is kept while any agent's recent failures include the job. The job's record may be removed
        // earlier.
        jobsAtFault.keySet().retainAll(machineCounts.keySet());
        machineCounts.forEach((id, machines) -> {
            JobRecord job = clusterState.job(id);
            if (job != null) {
                boolean atFault = machines >= FAILING_JOB_MIN_MACHINES
                        && job.completedTasks().size() == 0;
                jobsAtFault.put(id, atFault);
            }
        });
    }

    /** Returns whether enough jobs that are not at fault themselves have failed on this agent's machine recently. */
    boolean isFaulty(AgentState agent, Instant now) {
        long jobs = agent.failures().recentlyFailedJobs(now, FAILURE_WINDOW).stream()
                .filter(job -> !jobsAtFault.getOrDefault(job, false))
                .count();
        return jobs >= FAULTY_MACHINE_MIN_JOBS;
    }
}

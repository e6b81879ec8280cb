package org.gullway.coordination.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/** The demand of the unfinished jobs for each quota partition, by team and resource. */
final class QuotaDemand {
    private static final ResourceDemand NONE = new ResourceDemand();

    private final Map<String, Map<String, TeamDemand>> byPartitionAndTeam = new TreeMap<>();

    /** The demand for one resource by a team's jobs that draw on the same partition. */
    static final class ResourceDemand {
        private double total;
        private double smallestWaitingTask;
        private double largestStalledTask;

        /** Returns the sum of what the tasks need that are placed or can be placed now. */
        double total() {
            return total;
        }

        /**
         * Returns the smallest need of the waiting tasks, or 0 if no task waits. The result may be too large if a
         * waiting task needs none of the resource. Jobs are added one after another, and 0 also stands for "no waiting
         * task so far", so a task with a need of 0 discards the needs added before it: the needs 2, 0 and 3, in this
         * order, give 3.
         */
        double smallestWaitingTask() {
            return smallestWaitingTask;
        }

        /** Returns what the largest task of the stalled jobs needs, or 0 if no job is stalled. */
        double largestStalledTask() {
            return largestStalledTask;
        }

        private void add(int activeTasks, double perTask, boolean waiting, boolean stalled) {
            total += activeTasks * perTask;
            if (waiting) {
                smallestWaitingTask = smallestWaitingTask == 0 ? perTask : Math.min(smallestWaitingTask, perTask);
            }
            if (stalled) {
                largestStalledTask = Math.max(largestStalledTask, perTask);
            }
        }
    }

    private static final class TeamDemand {
        private final ResourceDemand cpus = new ResourceDemand();
        private final ResourceDemand gpus = new ResourceDemand();

        private void add(JobRecord job, Transaction transaction) {
            int activeTasks = transaction.recordCapacity().activeTasks(job);
            boolean waiting = activeTasks > job.livePlacements().size();
            boolean stalled = waiting && job.isStalledAt(transaction.wallClockTime());
            cpus.add(activeTasks, job.request().cpus(), waiting, stalled);
            gpus.add(activeTasks, job.request().gpus(), waiting, stalled);
        }

        private ResourceDemand of(QuotaResource resource) {
            return switch (resource) {
                case CPUS -> cpus;
                case GPUS -> gpus;
            };
        }
    }

    /**
     * Computes the demand of the given jobs.
     *
     * @param transaction determines the jobs that count as stalled, and the tasks that the jobs' records have room for
     */
    static QuotaDemand of(Collection<JobRecord> jobs, Transaction transaction) {
        QuotaDemand demand = new QuotaDemand();
        for (JobRecord job : jobs) {
            demand.byPartitionAndTeam
                    .computeIfAbsent(StoreKeys.quotaPartitionOf(job), partition -> new HashMap<>())
                    .computeIfAbsent(job.request().team(), team -> new TeamDemand())
                    .add(job, transaction);
        }
        return demand;
    }

    /** Returns the demand for one team's resource in the partition. */
    ResourceDemand of(String partition, TeamResource resource) {
        TeamDemand demand = byPartitionAndTeam
                .getOrDefault(partition, Map.of())
                .get(resource.team().name());
        return demand == null ? NONE : demand.of(resource.resource());
    }

    /** Returns the sum of what the tasks that are or can be placed need of one team's resource in the partition. */
    double total(String partition, TeamResource resource) {
        return of(partition, resource).total();
    }
}

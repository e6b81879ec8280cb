package org.gullway.coordination.quota;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;

/** What the unfinished jobs could use of each quota partition, by team and resource. */
final class QuotaDemand {
    private static final ResourceDemand NONE = new ResourceDemand();

    private final Map<String, Map<String, TeamDemand>> byPartitionAndTeam = new TreeMap<>();

    /** The demand of these jobs for one resource. */
    static final class ResourceDemand {
        private double total;
        private double smallestWaitingTask;
        private double largestStalledTask;

        /** What all unfinished tasks need together. */
        double total() {
            return total;
        }

        /** What the least demanding of the waiting tasks needs; 0 if none waits. */
        double smallestWaitingTask() {
            return smallestWaitingTask;
        }

        /** What the most demanding task of the stalled jobs needs; 0 if no job is stalled. */
        double largestStalledTask() {
            return largestStalledTask;
        }

        private void add(JobRecord job, double perTask, boolean waiting, boolean stalled) {
            total += job.unfinishedTasks() * perTask;
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

        private void add(JobRecord job, Instant timeOfDay) {
            boolean waiting = job.waitingTasks() > 0;
            boolean stalled = waiting && job.isStalledAt(timeOfDay);
            cpus.add(job, job.request().cpus(), waiting, stalled);
            gpus.add(job, job.request().gpus(), waiting, stalled);
        }

        private ResourceDemand of(QuotaResource resource) {
            return switch (resource) {
                case CPUS -> cpus;
                case GPUS -> gpus;
            };
        }
    }

    /** Sums up the demand of all these jobs at the given time of day. */
    static QuotaDemand of(Collection<JobRecord> jobs, Instant timeOfDay) {
        QuotaDemand demand = new QuotaDemand();
        for (JobRecord job : jobs) {
            demand.byPartitionAndTeam
                    .computeIfAbsent(StoreKeys.quotaPartitionOf(job), partition -> new HashMap<>())
                    .computeIfAbsent(job.request().team(), team -> new TeamDemand())
                    .add(job, timeOfDay);
        }
        return demand;
    }

    /** The demand for one team's resource in this partition. */
    ResourceDemand of(String partition, TeamResource resource) {
        TeamDemand demand = byPartitionAndTeam
                .getOrDefault(partition, Map.of())
                .get(resource.team().name());
        return demand == null ? NONE : demand.of(resource.resource());
    }

    /** What all unfinished tasks need of one team's resource in this partition. */
    double total(String partition, TeamResource resource) {
        return of(partition, resource).total();
    }
}

package org.gullway.coordination.model;

import java.util.HashMap;
import java.util.Map;
import org.gullway.protocol.JobRequest;

/** The changes of machine and quota usage that a transaction makes, relative to the cluster state. */
final class UsageDelta {
    private static final ResourceUsage NONE = new ResourceUsage();

    private final Map<String, ResourceUsage> byMachine = new HashMap<>();
    private final QuotaUsage byQuota = new QuotaUsage();

    ResourceUsage onMachine(String machine) {
        return byMachine.getOrDefault(machine, NONE);
    }

    ResourceUsage ofQuota(String partition, String team) {
        return byQuota.of(partition, team);
    }

    /** Adds one task of the job on a machine. */
    void addTask(JobRecord job, String machine) {
        changeTasks(job, machine, 1);
    }

    /** Subtracts one task of the job on a machine. */
    void removeTask(JobRecord job, String machine) {
        changeTasks(job, machine, -1);
    }

    private void changeTasks(JobRecord job, String machine, int sign) {
        JobRequest request = job.request();
        byMachine.computeIfAbsent(machine, m -> new ResourceUsage()).addToDelta(request, sign);
        changeQuota(StoreKeys.quotaPartitionOf(job), request, sign);
    }

    /** Charges the placed tasks of a job to another quota partition instead of its present one. */
    void moveQuota(JobRecord job, String toPartition) {
        JobRequest request = job.request();
        String fromPartition = StoreKeys.quotaPartitionOf(job);
        for (int i = job.livePlacements().size(); i > 0; i--) {
            changeQuota(fromPartition, request, -1);
            changeQuota(toPartition, request, 1);
        }
    }

    private void changeQuota(String partition, JobRequest request, int sign) {
        byQuota.mutableUsage(partition, request.team()).addToDelta(request, sign);
    }
}

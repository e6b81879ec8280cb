package org.gullway.coordination.model;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** What is known of the end of jobs whose records have been removed: whether they were cancelled. Kept across full reads. */
final class EndedJobs {
    private final RecentJobIds cancelled = new RecentJobIds();
    /** Jobs whose records were removed between two full reads, so that a cancellation may not have been seen. */
    private final RecentJobIds endedUnseen = new RecentJobIds();

    private final Set<String> liveBeforeFullRead = new HashSet<>();

    /** Called with each record of a job that is put into the cluster state. */
    void onRecord(JobRecord job) {
        if (job.isCancelled()) {
            cancelled.add(job.request().id());
        }
    }

    /** Called before all records are discarded for a full read. */
    void beforeFullRead(Collection<String> liveJobs) {
        liveBeforeFullRead.addAll(liveJobs);
    }

    /** Called once a full read is complete. */
    void afterFullRead(Set<String> liveJobs) {
        liveBeforeFullRead.removeAll(liveJobs);
        liveBeforeFullRead.forEach(endedUnseen::add);
        liveBeforeFullRead.clear();
    }

    boolean isCancelled(String job) {
        return cancelled.contains(job);
    }

    /** Whether the job may have ended by a cancellation. */
    boolean mayBeCancelled(String job) {
        return cancelled.contains(job) || endedUnseen.contains(job);
    }
}

package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.coordination.JobRecord.End;
import org.gullway.protocol.EndNotice;
import org.gullway.protocol.TaskReport;

/** Sees which attempts have certainly ended on the machines commanded here, and tells the keepers of their jobs. */
final class EndReporter {
    private static final Duration TELL_AGAIN = Duration.ofMillis(1500);
    /** After that the end is recorded here: the keeper may be out of reach, or change again and again. */
    private static final Duration TOLD_IN_VAIN = Duration.ofSeconds(4);

    private final ClusterView view;
    private final Incarnation self;
    private final EndedAttempts ended;
    private final Map<String, List<EndNotice>> notices = new TreeMap<>();

    EndReporter(ClusterView view, Incarnation self, EndedAttempts ended) {
        this.view = view;
        this.self = self;
        this.ended = ended;
    }

    /** Notes attempts that have certainly ended: the keeper of each job records them. */
    void observe(MachineRecord record, Worker worker, Instant now) {
        boolean fenced = worker.fenced(record);
        view.placementsOn(record.name()).forEach((id, placement) -> {
            if (placement.session() != record.session()) {
                return;
            }
            JobRecord job = view.job(id.task().job());
            TaskReport task = worker.tasks().get(id);
            if (task == null) {
                if (fenced && !worker.commanding() && (placement.stopping() || job.cancelled())) {
                    tell(job, id, End.STOPPED, worker, now);
                }
            } else if (task.ended() && task.cause() == TaskReport.Cause.DONE) {
                worker.succeeded();
                tell(job, id, End.DONE, worker, now);
            } else if (task.ended() && fenced) {
                boolean failed =
                        switch (task.cause()) {
                            case ERROR, UNKNOWN_JOB, OTHER -> true;
                            default -> false;
                        };
                if (failed) {
                    worker.failed(job.request().id(), now);
                }
                tell(job, id, failed ? End.FAILED : End.STOPPED, worker, now);
            }
        });
    }

    private void tell(JobRecord job, AttemptId id, End end, Worker worker, Instant now) {
        worker.look(now.plus(TELL_AGAIN));
        Incarnation leader = view.leader();
        String keeper = job.reserved() ? leader == null ? null : leader.node() : job.owner();
        if (self.node().equals(keeper) || worker.toldBefore(id, now.minus(TOLD_IN_VAIN))) {
            ended.add(id, end, now);
        }
        if (keeper != null && !self.node().equals(keeper) && worker.mayTell(id, now, TELL_AGAIN)) {
            notices.computeIfAbsent(keeper, k -> new ArrayList<>())
                    .add(new EndNotice(id.task(), id.attempt(), (byte) end.ordinal()));
        }
    }

    /** Ends to be told to the keepers of their jobs, by node; each batch is asked for once. */
    Map<String, List<EndNotice>> drainNotices() {
        Map<String, List<EndNotice>> drained = new TreeMap<>(notices);
        notices.clear();
        return drained;
    }

    /** Ends that the controller of a machine has seen. */
    void noticed(Collection<EndNotice> ends, Instant now) {
        for (EndNotice notice : ends) {
            if (notice.end() >= 0 && notice.end() < End.values().length) {
                ended.add(new AttemptId(notice.task(), notice.attempt()), End.values()[notice.end()], now);
            }
        }
    }
}

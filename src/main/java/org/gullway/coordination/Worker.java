package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gullway.protocol.TaskReport;
import org.gullway.protocol.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What this controller knows of a worker that reports to it: the newest of the worker's messages, and what is open. */
final class Worker {
    private static final Logger LOG = LoggerFactory.getLogger(Worker.class);

    private WorkerReport newest;
    private Map<AttemptId, TaskReport> tasks = Map.of();
    /** For attempts that ended without completing: the worker's token when that was first seen. */
    private final Map<AttemptId, Long> endedAtToken = new HashMap<>();
    private Instant heard;
    private Instant noticeEnd;
    /** A start was sent under this token and its outcome is open; only a higher confirmed token rules it out. */
    private long openBelow;
    private boolean commanding;
    private Instant quietUntil = Instant.MIN;
    /** When the worker first came here although another controller commands its machine. */
    private Instant strayedAt;
    private final Map<String, Instant> failedJobs = new HashMap<>();

    /** Takes a message of the worker; false if a newer one is known. */
    boolean take(WorkerReport report, Instant now) {
        if (newest != null && !report.newerThan(newest.session(), newest.sequence())) {
            return false;
        }
        if (newest != null && newest.session() != report.session()) {
            endedAtToken.clear();
            noticeEnd = null;
        }
        newest = report;
        heard = now;
        Map<AttemptId, TaskReport> next = new HashMap<>();
        for (TaskReport task : report.tasks()) {
            AttemptId id = new AttemptId(task.task(), task.attempt());
            next.put(id, task);
            if (LOG.isDebugEnabled()) {
                TaskReport before = tasks.get(id);
                if (before == null || before.phase() != task.phase()) {
                    LOG.debug("{}#{} is {} {} on {}", task.task(), task.attempt(), task.phase(), task.cause(), report.machine());
                }
            }
            if (task.ended() && task.cause() != TaskReport.Cause.DONE) {
                endedAtToken.putIfAbsent(id, report.token());
            }
        }
        endedAtToken.keySet().retainAll(next.keySet());
        tasks = next;
        if (report.notice() == null) {
            noticeEnd = null;
        } else if (noticeEnd == null) {
            noticeEnd = now.plus(report.notice());
        }
        return true;
    }

    WorkerReport newest() {
        return newest;
    }

    Map<AttemptId, TaskReport> tasks() {
        return tasks;
    }

    Instant heard() {
        return heard;
    }

    /** When the cloud takes the machine away, or null. */
    Instant noticeEnd() {
        return noticeEnd;
    }

    /** Whether every command that could still arrive from before is refused by the worker now. */
    boolean fenced(MachineRecord record) {
        return newest.token() >= record.epoch() && newest.token() > openBelow;
    }

    long openBelow() {
        return openBelow;
    }

    boolean commanding() {
        return commanding;
    }

    boolean mayCommand(Instant now) {
        return !commanding && !now.isBefore(quietUntil);
    }

    void commandSent() {
        commanding = true;
    }

    void commandEnded(Instant now, Duration quiet) {
        commanding = false;
        quietUntil = now.plus(quiet);
    }

    /** The outcome of a start sent under this token will never be known. */
    void startUnknown(long token) {
        openBelow = Math.max(openBelow, token);
    }

    /**
     * An attempt that ended without completing is forgotten by the worker only once commands of the time of its start
     * are refused: a start that arrives a second time would begin a forgotten attempt again.
     */
    boolean mayForget(AttemptId id, TaskReport task) {
        return task.cause() == TaskReport.Cause.DONE || newest.token() > endedAtToken.getOrDefault(id, Long.MAX_VALUE);
    }

    Instant strayedAt() {
        return strayedAt;
    }

    void strayed(Instant at) {
        strayedAt = at;
    }

    void failed(String job, Instant now) {
        failedJobs.put(job, now);
    }

    void succeeded() {
        failedJobs.clear();
    }

    /** Jobs of which tasks failed here lately, with no success since. */
    Set<String> failedLately(Instant now, Duration window) {
        failedJobs.values().removeIf(at -> at.plus(window).isBefore(now));
        return new HashSet<>(failedJobs.keySet());
    }
}

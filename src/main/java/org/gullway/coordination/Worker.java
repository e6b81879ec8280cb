package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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
    /** When the keeper of the job was first and last told of an end that is not on record yet. */
    private final Map<AttemptId, Told> told = new HashMap<>();

    private Instant heard;
    private Instant reported = Instant.MIN;
    private long commandedUnder;
    private Instant noticeEnd;
    /** A start was sent under this token and its outcome is open; only a higher confirmed token rules it out. */
    private long openBelow;

    private boolean commanding;
    private Instant quietUntil = Instant.MIN;
    /** Since when commands have had no answer; reports alone do not show that the machine hears. */
    private Instant deafSince;

    private boolean mute;
    private Instant askedAt = Instant.MIN;
    private Instant lookAt = Instant.MIN;
    /** When the worker first came here although another controller commands its machine. */
    private Instant strayedAt;

    private boolean stays;
    /** When it was last answered with 200 although another controller commands its machine; null if sent on since. */
    private Instant keptAt;

    private final Map<String, Instant> failedJobs = new HashMap<>();

    private record Told(Instant first, Instant last) {}

    private final Consumer<Instant> lookRequests;

    /**
     * @param heard when this controller began to count the worker's silence
     * @param lookRequests is told of every moment at which the worker has to be looked at, the first time at once
     */
    Worker(Instant heard, Consumer<Instant> lookRequests) {
        this.heard = heard;
        this.lookRequests = lookRequests;
        lookRequests.accept(lookAt);
    }

    /** Takes a report; false if a newer message is known, and then nothing has changed. */
    boolean take(WorkerReport report, Instant now) {
        mute &= newest != null && !report.newerThan(newest.session(), newest.sequence());
        return takeMessage(report, now);
    }

    /**
     * Takes the answer to a command. If it brings a newer session, the worker's lease has run out although commands
     * reach it: its reports reach nobody, and whatever is placed there would end with the next lease.
     */
    void takeAnswer(WorkerReport answer, Instant now) {
        mute |= newest != null && answer.session() > newest.session();
        takeMessage(answer, now);
    }

    /** Whether a lease has run out since the last report, while commands were answered. */
    boolean mute() {
        return mute;
    }

    private boolean takeMessage(WorkerReport report, Instant now) {
        if (newest != null && !report.newerThan(newest.session(), newest.sequence())) {
            return false;
        }
        if (newest != null && newest.session() != report.session()) {
            endedAtToken.clear();
            told.clear();
            noticeEnd = null;
        }
        boolean same = newest != null
                && newest.session() == report.session()
                && newest.token() == report.token()
                && newest.tasks().equals(report.tasks());
        newest = report;
        heard = now;
        reported = now;
        if (!same) {
            takeTasks(report);
            look(now);
        }
        if (report.notice() == null) {
            noticeEnd = null;
        } else if (noticeEnd == null) {
            noticeEnd = now.plus(report.notice());
            look(now);
        }
        return true;
    }

    private void takeTasks(WorkerReport report) {
        Map<AttemptId, TaskReport> next = new HashMap<>();
        for (TaskReport task : report.tasks()) {
            AttemptId id = new AttemptId(task.task(), task.attempt());
            next.put(id, task);
            if (LOG.isDebugEnabled()) {
                TaskReport before = tasks.get(id);
                if (before == null || before.phase() != task.phase()) {
                    LOG.debug(
                            "{}#{} is {} {} on {}",
                            task.task(),
                            task.attempt(),
                            task.phase(),
                            task.cause(),
                            report.machine());
                }
            }
            if (task.ended() && task.cause() != TaskReport.Cause.DONE) {
                endedAtToken.putIfAbsent(id, report.token());
            }
        }
        endedAtToken.keySet().retainAll(next.keySet());
        told.keySet().retainAll(next.keySet());
        tasks = next;
    }

    WorkerReport newest() {
        return newest;
    }

    Map<AttemptId, TaskReport> tasks() {
        return tasks;
    }

    /** Since when it counts as silent: its last message, or the beginning of listening to it. */
    Instant heard() {
        return heard;
    }

    /** When its last message came. */
    Instant reported() {
        return reported;
    }

    /** When the cloud takes the machine away, or null. */
    Instant noticeEnd() {
        return noticeEnd;
    }

    /** Whether every command that could still arrive from before is refused by the worker now. */
    boolean fenced(MachineRecord record) {
        return newest != null && newest.token() >= record.epoch() && newest.token() > openBelow;
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

    void commandAnswered(Instant now) {
        commanding = false;
        deafSince = null;
        look(now);
    }

    void commandFailed(Instant sent, Instant now, Duration quiet) {
        deafSince = deafSince == null ? sent : deafSince;
        commandPutOff(now, quiet);
    }

    void commandPutOff(Instant now, Duration quiet) {
        commanding = false;
        quietUntil = now.plus(quiet);
        look(quietUntil);
    }

    /** Whether to ask a worker of which nothing is known yet; not again and again while it is silent. */
    boolean mayAsk(Instant now) {
        if (askedAt.plusSeconds(1).isAfter(now)) {
            return false;
        }
        askedAt = now;
        return true;
    }

    Instant deafSince() {
        return deafSince;
    }

    /** Asks to be looked at by then. */
    void look(Instant at) {
        if (at.isBefore(lookAt)) {
            lookAt = at;
            lookRequests.accept(at);
        }
    }

    boolean dueForLook(Instant now) {
        return !lookAt.isAfter(now);
    }

    void lookedAt() {
        lookAt = Instant.MAX;
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

    /** Whether the keeper is to be told of this end now, and since when it was told. */
    boolean mayTell(AttemptId id, Instant now, Duration pause) {
        Told before = told.get(id);
        if (before != null && before.last().plus(pause).isAfter(now)) {
            return false;
        }
        told.put(id, new Told(before == null ? now : before.first(), now));
        return true;
    }

    boolean toldBefore(AttemptId id, Instant limit) {
        return told.containsKey(id) && told.get(id).first().isBefore(limit);
    }

    /**
     * Its machine is commanded here under this epoch. What was heard before a takeover says nothing: a worker that had
     * only passed by here long ago was once given up at the moment of the takeover (FaultsTest, zone that is cut off).
     */
    void commandedUnder(long epoch, Instant now) {
        if (epoch != commandedUnder) {
            commandedUnder = epoch;
            heard = now;
            deafSince = null;
        }
    }

    Instant strayedAt() {
        return strayedAt;
    }

    void strayed(Instant at) {
        strayedAt = at;
        stays = false;
        keptAt = null;
    }

    /** Every other time: a worker that alone cannot reach its controller must not stay where nobody commands it. */
    boolean mayStay(Instant now) {
        stays = !stays;
        keptAt = stays ? now : null;
        return stays;
    }

    /** Whether its last report here was answered with 200 no longer ago than this: it came back, so it hears. */
    boolean keptWithin(Duration span, Instant now) {
        return keptAt != null && !keptAt.plus(span).isBefore(now);
    }

    void failed(String job, Instant now) {
        failedJobs.put(job, now);
    }

    void succeeded() {
        failedJobs.clear();
    }

    boolean failedJobsNone() {
        return failedJobs.isEmpty();
    }

    /** Whether a start without an outcome, a notice or failed tasks may call for a change of the records. */
    boolean hasTrouble() {
        return openBelow != 0 || noticeEnd != null || !failedJobs.isEmpty();
    }

    /** Jobs of which tasks failed here lately, with no success since. */
    Set<String> failedLately(Instant now, Duration window) {
        failedJobs.values().removeIf(at -> at.plus(window).isBefore(now));
        return new HashSet<>(failedJobs.keySet());
    }
}

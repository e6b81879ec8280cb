package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/** The rules of the protocol, seen from outside: by what is on the machines and by what users are told. */
final class InvariantChecker {
    /** A job about which no query is answered for so long after all faults is forgotten. */
    private static final Duration FORGOTTEN = Duration.ofSeconds(75);
    /** The same while most other queries are answered, whatever faults there are. */
    private static final Duration FORGOTTEN_ALONE = Duration.ofSeconds(90);
    /** After all faults no job waits so long beside a machine with room. */
    private static final Duration LEFT_WAITING = Duration.ofSeconds(90);

    private static final class Job {
        private final JobRequest request;
        private final Set<Integer> completed = new HashSet<>();
        private Instant accepted;
        private Instant answered;
        private boolean cancelAsked;
        private String told = "";
        private Instant toldAt = Instant.MIN;
        private Instant cancelTold;
        private Instant began;
        private Instant waitingSince;
        private boolean reported;

        Job(JobRequest request) {
            this.request = request;
        }

        boolean over() {
            return told.equals("done") || told.equals("aborted");
        }
    }

    private record Asked(Instant at, String job, boolean answered) {}

    final List<String> violations = new ArrayList<>();
    private final Duration cancelLimit;
    private final Map<String, Settings.Team> teams;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, FakeAgent.Kind> machines = new HashMap<>();
    /** Machines on which a task is now, by job and task. */
    private final Map<String, Map<String, Set<String>>> places = new HashMap<>();

    private final Map<String, Double> usedOn = new HashMap<>();
    private final Map<String, Double> usedBy = new HashMap<>();
    private final Deque<Asked> questions = new ArrayDeque<>();
    private Instant quietSince;
    private int starts;
    private int startsAfterCancellation;

    InvariantChecker(Duration cancelLimit, Map<String, Settings.Team> teams) {
        this.cancelLimit = cancelLimit;
        this.teams = teams;
    }

    Duration cancellationLimit() {
        return cancelLimit;
    }

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    // Machines

    void onMachineUp(String name, FakeAgent.Kind kind) {
        machines.put(name, kind);
    }

    void onTaskStarted(String machine, String task, Instant now) {
        starts++;
        Job job = jobs.get(job(task));
        JobRequest request = job.request;
        job.began = job.began == null ? now : job.began;
        job.waitingSince = null;
        Set<String> on =
                places.computeIfAbsent(request.id(), j -> new HashMap<>()).computeIfAbsent(task, t -> new HashSet<>());
        if (!on.isEmpty()) {
            violations.add("ran_twice: " + task + " starts on " + machine + " while on " + on + " at " + now);
        }
        String wrong = wrong(request, machines.get(machine));
        if (wrong != null) {
            violations.add("wrong_place: " + task + " on " + machine + ": " + wrong + " at " + now);
        }
        on.add(machine);
        if (job.cancelTold != null) {
            startsAfterCancellation++;
            if (now.isAfter(job.cancelTold.plus(cancelLimit))) {
                violations.add("ran_cancelled: " + task + " starts on " + machine + " at " + now);
            }
        }
        usedOn.merge(machine, request.cpus(), Double::sum);
        double use = usedBy.merge(request.team(), request.cpus(), Double::sum);
        if (use > teams.get(request.team()).cpusLimit() + 1e-6) {
            violations.add("quota: " + request.team() + " uses " + use + " at " + now);
        }
    }

    void onTaskEnded(String machine, String task, boolean done) {
        Job job = jobs.get(job(task));
        if (places.getOrDefault(job.request.id(), Map.of())
                .getOrDefault(task, Set.of())
                .remove(machine)) {
            usedOn.merge(machine, -job.request.cpus(), Double::sum);
            usedBy.merge(job.request.team(), -job.request.cpus(), Double::sum);
        }
        if (done) {
            job.completed.add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
        }
    }

    /** Why no task of the job may start on such a machine, given where its others are; null if one may. */
    private String wrong(JobRequest request, FakeAgent.Kind kind) {
        if (kind.spot() && !request.spotAllowed()) {
            return "a spot machine";
        }
        if (request.machineTypes() != null && !request.machineTypes().contains(kind.type())) {
            return "of type " + kind.type();
        }
        if (request.zone() != null && !request.zone().equals(kind.zone())) {
            return "in zone " + kind.zone();
        }
        int there = 0;
        int elsewhere = 0;
        for (Set<String> on : places.getOrDefault(request.id(), Map.of()).values()) {
            for (String machine : on) {
                if (machines.get(machine).zone().equals(kind.zone())) {
                    there++;
                } else {
                    elsewhere++;
                }
            }
        }
        if (request.singleZone() && elsewhere > 0) {
            return "in zone " + kind.zone() + ", its other tasks are not";
        }
        if (request.spreadAcrossZones() && there + 1 > (request.tasks() + 1) / 2) {
            return "the task beyond half of them in zone " + kind.zone();
        }
        return null;
    }

    boolean isCompleted(String task) {
        return jobs.get(job(task)).completed.contains(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
    }

    boolean allCompleted(String id) {
        Job job = jobs.get(id);
        return job.completed.size() == job.request.tasks();
    }

    // Users

    void onSubmitted(JobRequest request) {
        jobs.put(request.id(), new Job(request));
    }

    void onAccepted(String id, Instant now) {
        Job job = jobs.get(id);
        job.accepted = job.accepted == null ? now : job.accepted;
    }

    void onCancellationRequested(String id) {
        jobs.get(id).cancelAsked = true;
    }

    boolean isCancellationRequested(String id) {
        return jobs.get(id).cancelAsked;
    }

    boolean isFinished(String id) {
        return jobs.get(id).over();
    }

    String reportedState(String id) {
        return jobs.get(id).told;
    }

    /** When a task of the job began first; null if none has. */
    Instant firstStartOf(String id) {
        return jobs.get(id).began;
    }

    /** A user has heard this state; whether it is the first time that it hears of the job's cancellation. */
    boolean onStateReported(String id, String state, Instant asked, Instant now) {
        Job job = jobs.get(id);
        // A query may have been answered before the final state was told, but two final states are never both true.
        boolean last = state.equals("done") || state.equals("aborted");
        if (job.over() && !state.equals(job.told) && (last || asked.isAfter(job.toldAt))) {
            violations.add("went_back: " + id + " was " + job.told + ", then " + state + " at " + now);
        }
        if (state.equals("aborted") && !job.cancelAsked) {
            violations.add("went_back: " + id + " is cancelled by nobody at " + now);
        }
        if (state.equals("done")) {
            for (int i = 0; i < job.request.tasks(); i++) {
                if (!job.completed.contains(i)) {
                    violations.add("not_done: " + id + "/" + i + " at " + now);
                }
            }
        }
        if (!job.over() && last) {
            job.told = state;
            job.toldAt = now;
            if (state.equals("aborted")) {
                job.cancelTold = now;
                return true;
            }
        }
        return false;
    }

    /** A request to cancel was answered with 200 and this state. */
    void onCancellationAnswered(String id, String state, Instant now) {
        if (!state.equals("done") && !state.equals("aborted")) {
            violations.add("went_back: the cancellation of " + id + " is answered with " + state + " at " + now);
        }
    }

    /** At the limit; what is on no machine then can only come by a start, of which {@link #began} takes care. */
    void checkCancellationLimit(String id, Instant now) {
        places.getOrDefault(id, Map.of()).forEach((task, on) -> {
            if (!on.isEmpty()) {
                violations.add("ran_cancelled: " + task + " is on " + on + " at " + now);
            }
        });
    }

    /** A query about an accepted job has ended, with an answer or without; 404 is no answer. */
    void onQueried(String id, int status, Instant asked, Instant now) {
        Job job = jobs.get(id);
        if (status == 404) {
            violations.add("forgotten: " + id + " gets 404 at " + now);
        }
        if (status == 200) {
            job.answered = asked;
        }
        questions.add(new Asked(asked, id, status == 200));
        Instant oldest = asked.minus(FORGOTTEN_ALONE);
        while (questions.peek().at().isBefore(oldest)) {
            questions.remove();
        }
        Instant heard = job.answered == null ? job.accepted : job.answered;
        if (job.reported) {
            return;
        }
        if (quietSince != null && later(heard, quietSince).plus(FORGOTTEN).isBefore(asked)) {
            violations.add("forgotten: nothing is answered about " + id + " at " + now);
            job.reported = true;
        } else if (!heard.isAfter(oldest)) {
            long others = questions.stream().filter(q -> !q.job().equals(id)).count();
            long answered = questions.stream()
                    .filter(q -> !q.job().equals(id) && q.answered())
                    .count();
            if (2 * answered > others) {
                violations.add("forgotten: " + id + " alone is not answered at " + now);
                job.reported = true;
            }
        }
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    /** A submission again of a job that is known was answered so. */
    void onResubmitted(String id, int status, Instant now) {
        if (status == 201 || status == 400 || status == 422) {
            violations.add("forgotten: " + id + " submitted again gets " + status + " at " + now);
        }
    }

    /** A submission that has to be refused with a certain status was answered; whether that is an end of it. */
    boolean onInvalidSubmission(String id, int expected, int status) {
        if (status == 200 || status == 201) {
            violations.add("accepted: " + id + " gets " + status + " instead of " + expected);
        } else if ((status == 400 || status == 422) && status != expected) {
            violations.add("wrong_refusal: " + id + " gets " + status + " instead of " + expected);
        }
        return status == 200 || status == 201 || status == 400 || status == 422;
    }

    /** A query about a job that no one submitted was answered so. */
    void onUnknownJobQueried(String id, int status) {
        if (status == 200) {
            violations.add("invented: " + id);
        }
    }

    // Afterwards

    void onFaultsEnded(Instant now) {
        quietSince = now;
    }

    /** Once all faults are over: no job waits long while a machine that fits has room and its team is below its limit. */
    void checkWaitingJobs(Predicate<String> isUp, Instant now) {
        if (quietSince == null) {
            return;
        }
        for (Job job : jobs.values()) {
            JobRequest request = job.request;
            long on = places.getOrDefault(request.id(), Map.of()).values().stream()
                    .filter(s -> !s.isEmpty())
                    .count();
            boolean waits = job.accepted != null
                    && !job.over()
                    && !job.cancelAsked
                    && job.completed.size() + on < request.tasks()
                    && usedBy.getOrDefault(request.team(), 0.0) + request.cpus()
                            <= teams.get(request.team()).cpusLimit() + 1e-6
                    && machines.keySet().stream().anyMatch(name -> isUp.test(name) && fits(request, name));
            if (!waits) {
                job.waitingSince = null;
            } else if (job.waitingSince == null) {
                job.waitingSince = now;
            } else if (job.waitingSince.plus(LEFT_WAITING).isBefore(now)) {
                violations.add("left_waiting: " + request.id() + " since " + job.waitingSince);
                job.waitingSince = now;
            }
        }
    }

    private boolean fits(JobRequest request, String machine) {
        FakeAgent.Kind kind = machines.get(machine);
        return usedOn.getOrDefault(machine, 0.0) + request.cpus() <= kind.cpus() + 1e-6 && wrong(request, kind) == null;
    }

    int startedTasks() {
        return starts;
    }

    /** Starts of tasks whose user had been told before that the job is cancelled. */
    int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** Tasks that are on a machine now. */
    long running() {
        return places.values().stream()
                .flatMap(tasks -> tasks.values().stream())
                .filter(on -> !on.isEmpty())
                .count();
    }
}

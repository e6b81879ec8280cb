package org.gullway.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.BestFit;
import org.gullway.coordination.placement.InfeasibleRequests;
import org.gullway.coordination.quota.TeamQuotas;

/**
 * Places tasks of waiting jobs in turns of their teams, one task at each turn, until nothing more fits. The order of
 * the teams is kept from one pass to the next, so that all get equally many turns.
 */
final class TeamRoundRobin {
    private final TeamQuotas quotas;
    private final BestFit bestFit;
    /** All teams that ever had a waiting job, the one whose next turn comes first at the start. */
    private final List<String> teams = new ArrayList<>();

    /** How much one pass may place: tasks of each job, and processors of all of them. */
    record Limits(int maxTasksPerJob, double maxCpus) {
        static final Limits NONE = new Limits(Integer.MAX_VALUE, Double.MAX_VALUE);

        static Limits ofTasksPerJob(int tasks) {
            return new Limits(tasks, Double.MAX_VALUE);
        }

        static Limits ofCpus(double cpus) {
            return new Limits(Integer.MAX_VALUE, cpus);
        }
    }

    TeamRoundRobin(TeamQuotas quotas, BestFit bestFit) {
        this.quotas = quotas;
        this.bestFit = bestFit;
    }

    /** Places tasks of these jobs on these machines; the jobs of a team have their turns in the given order. */
    void place(Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> jobs, Limits limits) {
        TurnsOfOnePass turns = new TurnsOfOnePass(transaction, machines, jobs, limits);
        addNewTeams(turns.waitingByTeam.keySet());
        boolean placedAny = true;
        while (placedAny) {
            placedAny = false;
            for (String team : List.copyOf(teams)) {
                if (turns.placeOneOf(team)) {
                    placedAny = true;
                    teams.remove(team);
                    teams.add(team);
                }
            }
        }
    }

    private void addNewTeams(Set<String> waiting) {
        for (String team : waiting) {
            if (!teams.contains(team)) {
                teams.add(0, team);
            }
        }
    }

    private final class TurnsOfOnePass {
        private final PlacementAttempt.Pass pass;
        private final int maxTasksPerJob;
        private final Map<String, Deque<JobRecord>> waitingByTeam = new TreeMap<>();
        private final Map<String, PlacementAttempt> attemptByJob = new HashMap<>();
        private double remainingCpus;

        TurnsOfOnePass(
                Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> jobs, Limits limits) {
            this.pass = new PlacementAttempt.Pass(transaction, machines, new InfeasibleRequests());
            this.maxTasksPerJob = limits.maxTasksPerJob();
            this.remainingCpus = limits.maxCpus();
            for (JobRecord known : jobs) {
                JobRecord job = transaction.job(known.request().id());
                if (job != null && job.waitingTasks() > 0) {
                    waitingByTeam
                            .computeIfAbsent(job.request().team(), team -> new ArrayDeque<>())
                            .add(job);
                }
            }
        }

        /** One turn: places one task of the team's first job of which one fits. */
        boolean placeOneOf(String team) {
            Deque<JobRecord> jobs = waitingByTeam.get(team);
            while (jobs != null && !jobs.isEmpty()) {
                JobRecord job = jobs.peek();
                PlacementAttempt attempt = attemptByJob.computeIfAbsent(
                        job.request().id(), id -> new PlacementAttempt(job, pass, quotas, bestFit, maxTasksPerJob));
                if (job.request().cpus() <= remainingCpus && attempt.placeOne()) {
                    remainingCpus -= job.request().cpus();
                    return true;
                }
                attempt.recordPlacements();
                jobs.poll();
            }
            return false;
        }
    }
}

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
 * Places tasks of waiting jobs round-robin across teams, one task per turn, until no further task fits. The order of
 * the teams carries over from one pass to the next, so that all teams get the same number of turns.
 */
final class TeamRoundRobin {
    private final TeamQuotas quotas;
    private final BestFit bestFit;
    /** All teams that ever had a waiting job, in the order of their next turns. */
    private final List<String> teams = new ArrayList<>();

    /** Limits of one pass: the number of tasks per job, and the sum of the CPUs of all placed tasks. */
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

    /**
     * Places tasks of the given jobs on the given machines within the limits.
     *
     * @param jobs the jobs to place; jobs of the same team are served in this order
     */
    void place(Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> jobs, Limits limits) {
        RoundRobinPass pass = new RoundRobinPass(transaction, machines, jobs, limits);
        addNewTeams(pass.waitingByTeam.keySet());
        boolean placedAny = true;
        while (placedAny) {
            placedAny = false;
            for (String team : List.copyOf(teams)) {
                if (pass.planOneTaskOf(team)) {
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

    private final class RoundRobinPass {
        private final JobPlacementPlan.PassContext context;
        private final int maxTasksPerJob;
        private final Map<String, Deque<JobRecord>> waitingByTeam = new TreeMap<>();
        private final Map<String, JobPlacementPlan> planByJob = new HashMap<>();
        private double remainingCpus;

        RoundRobinPass(
                Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> jobs, Limits limits) {
            this.context = new JobPlacementPlan.PassContext(transaction, machines, new InfeasibleRequests());
            this.maxTasksPerJob = limits.maxTasksPerJob();
            this.remainingCpus = limits.maxCpus();
            for (JobRecord storedJob : jobs) {
                JobRecord job = transaction.job(storedJob.request().id());
                if (job != null && job.waitingTasks() > 0) {
                    waitingByTeam
                            .computeIfAbsent(job.request().team(), team -> new ArrayDeque<>())
                            .add(job);
                }
            }
        }

        /**
         * Takes one turn of the team: plans one task of the team's first job that can still get one. Jobs that cannot
         * get another task are removed, and their planned placements are recorded in the transaction.
         *
         * @return false if no further task of the team can be placed in this pass
         */
        boolean planOneTaskOf(String team) {
            Deque<JobRecord> jobs = waitingByTeam.get(team);
            while (jobs != null && !jobs.isEmpty()) {
                JobRecord job = jobs.peek();
                JobPlacementPlan plan = planByJob.computeIfAbsent(
                        job.request().id(), id -> new JobPlacementPlan(job, context, quotas, bestFit, maxTasksPerJob));
                if (job.request().cpus() <= remainingCpus && plan.planOneTask()) {
                    remainingCpus -= job.request().cpus();
                    return true;
                }
                plan.recordPlacements();
                jobs.poll();
            }
            return false;
        }
    }
}

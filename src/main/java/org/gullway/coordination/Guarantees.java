package org.gullway.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.protocol.Settings;

/** The jobs that fit into their team's guarantee together with the team's earlier jobs that are not finished. */
public final class Guarantees {
    private final Set<String> within;

    private Guarantees(Set<String> within) {
        this.within = within;
    }

    /**
     * Determines which jobs are within the guarantees of their teams, counting jobs in the order of their submission.
     */
    public static Guarantees of(ClusterView view, PlacementConstraints placing) {
        List<JobRecord> jobs = new ArrayList<>(view.jobs());
        jobs.sort(Comparator.comparing(JobRecord::submitted)
                .thenComparing(job -> job.request().id()));
        Map<String, Double> cpus = new HashMap<>();
        Map<String, Double> cards = new HashMap<>();
        Set<String> within = new HashSet<>();
        for (JobRecord job : jobs) {
            Settings.Team team = placing.team(job.request().team());
            if (team != null && !job.cancelled()) {
                double usedCpus =
                        cpus.merge(team.name(), job.unfinished() * job.request().cpus(), Double::sum);
                double usedCards = cards.merge(
                        team.name(), job.unfinished() * job.request().cards(), Double::sum);
                if (usedCpus <= team.cpus() && usedCards <= team.cards()) {
                    within.add(job.request().id());
                }
            }
        }
        return new Guarantees(within);
    }

    public boolean holdFor(JobRecord job) {
        return within.contains(job.request().id());
    }
}

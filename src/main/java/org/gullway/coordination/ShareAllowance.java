package org.gullway.coordination;

import java.util.HashMap;
import java.util.Map;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/** What may still be placed: within a job's share of its team's limit, and what of the limit no share holds. */
final class ShareAllowance {
    private static final double EPSILON = 1e-6;

    private final ClusterView view;
    private final Map<String, Double> heldByShareAndTeam = new HashMap<>();
    private final Map<String, Double> openByTeam = new HashMap<>();

    ShareAllowance(ClusterView view, PlacementConstraints placing) {
        this.view = view;
        for (Settings.Team team : placing.teams()) {
            double shares = 0;
            for (AllotmentRecord share : view.shares().values()) {
                shares += share.of(team.name()).cpus();
            }
            openByTeam.put(team.name(), Math.max(0, team.cpusLimit() - shares));
        }
    }

    /** Takes what it can of so many tasks of the job, and returns how many. */
    int take(JobRecord job, int tasks) {
        if (tasks <= 0) {
            return 0;
        }
        JobRequest request = job.request();
        String share = Keys.shareOf(job);
        String key = share + '\n' + request.team();
        double held = heldByShareAndTeam.computeIfAbsent(key, k -> heldBy(share, request.team()));
        double open = openByTeam.getOrDefault(request.team(), 0.0);
        int taken = (int) Math.min(tasks, (held + open) / request.cpus() + EPSILON);
        double cpus = taken * request.cpus();
        heldByShareAndTeam.put(key, Math.max(0, held - cpus));
        openByTeam.put(request.team(), open - Math.max(0, cpus - held));
        return taken;
    }

    private double heldBy(String share, String team) {
        double part = view.shares()
                .getOrDefault(share, AllotmentRecord.EMPTY)
                .of(team)
                .cpus();
        return Math.max(0, part - view.usedOf(share, team).cpus);
    }
}

package org.gullway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.gullway.coordination.LeaseRenewalPolicy;
import org.gullway.requests.UserApi;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;

/** Passes the requests of users, workers and health checks to whoever answers them, by path and method. */
final class RequestRouter {
    private static final String HEALTH = "/up";
    private static final String REPORTS = "/agent/beat";
    private static final String JOBS = "/v2/runs";
    private static final String CANCEL = "/withdraw";
    private static final byte[] EMPTY = new byte[0];
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final LeaseRenewalPolicy leases;
    private final BooleanSupplier healthy;
    private final ReportIntake reports;
    private final UserApi users;

    RequestRouter(
            EventLoop loop, LeaseRenewalPolicy leases, BooleanSupplier healthy, ReportIntake reports, UserApi users) {
        this.loop = loop;
        this.leases = leases;
        this.healthy = healthy;
        this.reports = reports;
        this.users = users;
    }

    /** Answers the call, now or later; an unknown path gets 404 and a wrong method 405. */
    void answer(Call call) {
        String path = call.path();
        if (!path.equals(REPORTS)) {
            leases.outsideHeard(loop.now());
        }
        if (path.equals(HEALTH)) {
            only("GET", call, () -> answerHealthCheck(call));
        } else if (path.equals(REPORTS)) {
            only("POST", call, () -> reports.take(call));
        } else if (path.equals(JOBS)) {
            only("POST", call, () -> users.submit(call));
        } else if (path.startsWith(JOBS + "/")) {
            routeJob(path.substring(JOBS.length() + 1), call);
        } else {
            call.answer(404, EMPTY);
        }
    }

    private void answerHealthCheck(Call call) {
        if (healthy.getAsBoolean()) {
            call.answer(200, EMPTY);
        } else {
            call.refuse(503, RETRY_AFTER);
        }
    }

    private void routeJob(String rest, Call call) {
        if (rest.endsWith(CANCEL)) {
            String job = rest.substring(0, rest.length() - CANCEL.length());
            only("POST", call, () -> users.cancel(job, call));
        } else {
            only("GET", call, () -> users.poll(rest, call));
        }
    }

    private static void only(String method, Call call, Runnable action) {
        if (call.method().equals(method)) {
            action.run();
        } else {
            call.answer(405, EMPTY);
        }
    }
}

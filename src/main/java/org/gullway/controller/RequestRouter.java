package org.gullway.controller;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.gullway.api.UserApi;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.worker.HeartbeatAdmission;

/** Passes the requests of users, workers and health checks to whoever answers them, by path and method. */
final class RequestRouter {
    private static final String HEALTH = "/up";
    private static final String REPORTS = "/agent/beat";
    private static final String JOBS = "/v2/runs";
    private static final String CANCEL = "/withdraw";
    private static final byte[] EMPTY = new byte[0];
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final LeaseRenewalPolicy leaseRenewal;
    private final BooleanSupplier healthy;
    private final HeartbeatAdmission heartbeatAdmission;
    private final UserApi userApi;

    RequestRouter(
            EventLoop loop,
            LeaseRenewalPolicy leaseRenewal,
            BooleanSupplier healthy,
            HeartbeatAdmission heartbeatAdmission,
            UserApi userApi) {
        this.loop = loop;
        this.leaseRenewal = leaseRenewal;
        this.healthy = healthy;
        this.heartbeatAdmission = heartbeatAdmission;
        this.userApi = userApi;
    }

    /** Answers the call, now or later; an unknown path gets 404 and a wrong method 405. */
    void route(HttpExchange exchange) {
        String path = exchange.path();
        if (!path.equals(REPORTS)) {
            leaseRenewal.onExternalContact(loop.now());
        }
        if (path.equals(HEALTH)) {
            only("GET", exchange, () -> answerHealthCheck(exchange));
        } else if (path.equals(REPORTS)) {
            only("POST", exchange, () -> heartbeatAdmission.admit(exchange));
        } else if (path.equals(JOBS)) {
            only("POST", exchange, () -> userApi.submit(exchange));
        } else if (path.startsWith(JOBS + "/")) {
            routeJob(path.substring(JOBS.length() + 1), exchange);
        } else {
            exchange.respond(404, EMPTY);
        }
    }

    private void answerHealthCheck(HttpExchange exchange) {
        if (healthy.getAsBoolean()) {
            exchange.respond(200, EMPTY);
        } else {
            exchange.reject(503, RETRY_AFTER);
        }
    }

    private void routeJob(String rest, HttpExchange exchange) {
        if (rest.endsWith(CANCEL)) {
            String job = rest.substring(0, rest.length() - CANCEL.length());
            only("POST", exchange, () -> userApi.cancel(job, exchange));
        } else {
            only("GET", exchange, () -> userApi.queryStatus(rest, exchange));
        }
    }

    private static void only(String method, HttpExchange exchange, Runnable action) {
        if (exchange.method().equals(method)) {
            action.run();
        } else {
            exchange.respond(405, EMPTY);
        }
    }
}

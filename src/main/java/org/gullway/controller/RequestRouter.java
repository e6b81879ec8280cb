package org.gullway.controller;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.gullway.agent.HeartbeatAdmission;
import org.gullway.api.UserApi;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/** Passes the requests of users, agents and health checks to their handlers, by path and method. */
final class RequestRouter {
    private static final String HEALTH_CHECK = "/up";
    private static final String HEARTBEATS = "/agent/beat";
    private static final String JOBS = "/v2/runs";
    private static final String JOB_PREFIX = JOBS + "/";
    private static final String CANCEL_SUFFIX = "/withdraw";
    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final LeaseRenewalPolicy leaseRenewal;
    private final BooleanSupplier isHealthy;
    private final HeartbeatAdmission heartbeatAdmission;
    private final UserApi userApi;

    RequestRouter(
            EventLoop loop,
            LeaseRenewalPolicy leaseRenewal,
            BooleanSupplier isHealthy,
            HeartbeatAdmission heartbeatAdmission,
            UserApi userApi) {
        this.loop = loop;
        this.leaseRenewal = leaseRenewal;
        this.isHealthy = isHealthy;
        this.heartbeatAdmission = heartbeatAdmission;
        this.userApi = userApi;
    }

    /** Answers the request, now or later; an unknown path gets 404 and a wrong method 405. */
    void route(HttpExchange exchange) {
        String path = exchange.path();
        if (!path.equals(HEARTBEATS)) {
            leaseRenewal.onExternalContact(loop.now());
        }
        if (path.equals(HEALTH_CHECK)) {
            ifMethod(GET, exchange, () -> answerHealthCheck(exchange));
        } else if (path.equals(HEARTBEATS)) {
            ifMethod(POST, exchange, () -> heartbeatAdmission.admit(exchange));
        } else if (path.equals(JOBS)) {
            ifMethod(POST, exchange, () -> userApi.submit(exchange));
        } else if (path.startsWith(JOB_PREFIX)) {
            routeJob(path.substring(JOB_PREFIX.length()), exchange);
        } else {
            exchange.respond(HttpStatus.NOT_FOUND);
        }
    }

    private void answerHealthCheck(HttpExchange exchange) {
        if (isHealthy.getAsBoolean()) {
            exchange.respond(HttpStatus.OK);
        } else {
            exchange.reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
        }
    }

    private void routeJob(String jobPath, HttpExchange exchange) {
        if (jobPath.endsWith(CANCEL_SUFFIX)) {
            String job = jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length());
            ifMethod(POST, exchange, () -> userApi.cancel(job, exchange));
        } else {
            ifMethod(GET, exchange, () -> userApi.queryStatus(jobPath, exchange));
        }
    }

    private static void ifMethod(String method, HttpExchange exchange, Runnable handler) {
        if (exchange.method().equals(method)) {
            handler.run();
        } else {
            exchange.respond(HttpStatus.METHOD_NOT_ALLOWED);
        }
    }
}

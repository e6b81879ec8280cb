package org.gullway.controller;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.gullway.agent.HeartbeatAdmission;
import org.gullway.api.UserApi;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.protocol.MessageLimits;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/** Routes requests of users, agents and health checks to their handlers, by path and method. */
final class RequestRouter {
    private static final String HEALTH_CHECK_PATH = "/up";
    private static final String HEARTBEAT_PATH = "/agent/beat";
    private static final String JOBS_PATH = "/v2/runs";
    private static final String JOB_PATH_PREFIX = JOBS_PATH + "/";
    private static final String CANCEL_PATH_SUFFIX = "/withdraw";
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

    /** Returns the maximum size of the body of a request to this path. */
    static int bodyLimit(String path) {
        return path.equals(HEARTBEAT_PATH)
                ? MessageLimits.MAX_ACCEPTED_HEARTBEAT_BYTES
                : MessageLimits.MAX_MESSAGE_BYTES;
    }

    /**
     * Routes the request to its handler, which responds immediately or later. Responds with status 404 to an unknown
     * path, and with status 405 to a method that the path does not support.
     */
    void route(HttpExchange exchange) {
        String path = exchange.path();
        if (!path.equals(HEARTBEAT_PATH)) {
            // Requests of users and health checks show that the zone of this controller is not partitioned.
            leaseRenewal.onExternalContact(loop.now());
        }
        if (path.equals(HEALTH_CHECK_PATH)) {
            handleIfMethod(GET, exchange, () -> answerHealthCheck(exchange));
        } else if (path.equals(HEARTBEAT_PATH)) {
            handleIfMethod(POST, exchange, () -> heartbeatAdmission.admit(exchange));
        } else if (path.equals(JOBS_PATH)) {
            handleIfMethod(POST, exchange, () -> userApi.submit(exchange));
        } else if (path.startsWith(JOB_PATH_PREFIX)) {
            routeJob(path.substring(JOB_PATH_PREFIX.length()), exchange);
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
        if (jobPath.endsWith(CANCEL_PATH_SUFFIX)) {
            String job = jobPath.substring(0, jobPath.length() - CANCEL_PATH_SUFFIX.length());
            handleIfMethod(POST, exchange, () -> userApi.cancel(job, exchange));
        } else {
            handleIfMethod(GET, exchange, () -> userApi.queryStatus(jobPath, exchange));
        }
    }

    private static void handleIfMethod(String method, HttpExchange exchange, Runnable handler) {
        if (exchange.method().equals(method)) {
            handler.run();
        } else {
            exchange.respond(HttpStatus.METHOD_NOT_ALLOWED);
        }
    }
}

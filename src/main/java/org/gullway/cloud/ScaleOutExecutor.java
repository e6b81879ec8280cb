package org.gullway.cloud;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.scaling.FleetAutoscaler;
import org.gullway.coordination.scaling.ProvisioningRequest;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the autoscaler's provisioning requests, and repeats each request until its outcome is known or this controller
 * is no longer the leader.
 */
final class ScaleOutExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutExecutor.class);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    /**
     * Minimum time from the start of one planning run to the next, as a multiple of the time that the run took.
     * Planning iterates over the whole fleet, and this interval limits it to 1/20 of the time even when the CPU is
     * slow.
     */
    private static final int PLANNING_INTERVAL_FACTOR = 20;

    private final EventLoop loop;
    private final CloudClient client;
    private final FleetAutoscaler autoscaler;
    private final CloudInventory inventory;
    private final Incarnation self;
    private final BooleanSupplier isLeader;
    private final Runnable onChange;
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private int requestCount;
    private Instant nextPlanningAt = Instant.MIN;

    /**
     * A request whose outcome is unknown. It is repeated with the same id so that the provider processes it only once.
     */
    private record PendingRequest(String id, ProvisioningRequest request) {}

    /**
     * @param isLeader whether this controller is the leader in the cluster state
     * @param onChange runs after each request that has provisioned machines
     */
    ScaleOutExecutor(
            EventLoop loop,
            CloudClient client,
            FleetAutoscaler autoscaler,
            CloudInventory inventory,
            Incarnation self,
            BooleanSupplier isLeader,
            Runnable onChange) {
        this.loop = loop;
        this.client = client;
        this.autoscaler = autoscaler;
        this.inventory = inventory;
        this.self = self;
        this.isLeader = isLeader;
        this.onChange = onChange;
    }

    /**
     * Returns whether the autoscaler may plan: no request is pending, all provisioned machines are recorded, and the
     * minimum interval has passed.
     */
    boolean isPlanningDue(Instant now) {
        return pendingRequests.isEmpty() && !inventory.hasUnrecorded() && !now.isBefore(nextPlanningAt);
    }

    /**
     * Plans provisioning requests and sends as many of them as the rate limit allows. The next planning run plans the
     * others again.
     */
    void plan(Instant now) {
        List<ProvisioningRequest> requests = autoscaler.machinesToProvision(now);
        Duration planningTime = Duration.between(now, loop.now());
        nextPlanningAt = now.plus(planningTime.multipliedBy(PLANNING_INTERVAL_FACTOR));
        for (ProvisioningRequest request : requests) {
            if (!client.tryAcquire()) {
                return;
            }
            PendingRequest pending = new PendingRequest(nextRequestId(), request);
            pendingRequests.add(pending);
            send(pending);
        }
    }

    private String nextRequestId() {
        return self.node() + "-" + Long.toString(self.number(), Character.MAX_RADIX) + "-" + ++requestCount;
    }

    private void send(PendingRequest pending) {
        client.provision(pending.id(), pending.request(), outcome -> onOutcome(pending, outcome));
    }

    private void onOutcome(PendingRequest pending, ProvisioningOutcome outcome) {
        ProvisioningRequest request = pending.request();
        switch (outcome.status()) {
            case PROVISIONED -> {
                pendingRequests.remove(pending);
                onProvisioned(request, outcome.machines());
            }
            case REFUSED -> {
                pendingRequests.remove(pending);
                LOG.info(
                        "provisioning refused type={} zone={} spot={} requested={} status={}",
                        request.type(),
                        request.zone(),
                        request.spot(),
                        request.count(),
                        outcome.response().status());
                autoscaler.onCapacityExhausted(request, loop.now());
            }
            case MALFORMED -> pendingRequests.remove(pending);
            case UNKNOWN -> loop.after(RETRY_DELAY, () -> retry(pending));
        }
    }

    private void onProvisioned(ProvisioningRequest request, List<String> machines) {
        LOG.info(
                "provisioned machines type={} zone={} spot={} requested={} provisioned={}",
                request.type(),
                request.zone(),
                request.spot(),
                request.count(),
                machines.size());
        inventory.onProvisioned(machines, request);
        if (machines.size() < request.count()) {
            autoscaler.onCapacityExhausted(request, loop.now());
        }
        onChange.run();
    }

    private void retry(PendingRequest pending) {
        if (isLeader.getAsBoolean()) {
            send(pending);
        } else {
            pendingRequests.remove(pending);
        }
    }
}

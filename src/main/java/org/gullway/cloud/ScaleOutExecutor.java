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

/** Sends the autoscaler's provisioning requests, and repeats each until its outcome is known. */
final class ScaleOutExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutExecutor.class);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    /** Planning goes through the whole fleet: when processor time is short, it may take only a small part of it. */
    private static final int PAUSE_PER_PLANNING_TIME = 20;

    private final EventLoop loop;
    private final CloudClient client;
    private final FleetAutoscaler autoscaler;
    private final CloudInventory inventory;
    private final Incarnation self;
    private final BooleanSupplier isLeader;
    private final Runnable onChange;
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private int requestCount;
    private Instant planNotBefore = Instant.MIN;

    /** A request whose outcome is unknown; it is repeated under the same id, so that it is carried out only once. */
    private record PendingRequest(String id, ProvisioningRequest request) {}

    /**
     * @param isLeader whether this controller is the leader on record
     * @param onChange is run after every outcome that may change what has to be planned
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

    /** Whether the autoscaler may plan: all that was provisioned before is on record. */
    boolean isPlanningDue(Instant now) {
        return pendingRequests.isEmpty() && !inventory.hasUnrecorded() && !now.isBefore(planNotBefore);
    }

    /** Plans and sends requests as far as the rate limit allows. */
    void plan(Instant now) {
        List<ProvisioningRequest> requests = autoscaler.machinesToProvision(now);
        Duration planningTime = Duration.between(now, loop.now());
        planNotBefore = now.plus(planningTime.multipliedBy(PAUSE_PER_PLANNING_TIME));
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

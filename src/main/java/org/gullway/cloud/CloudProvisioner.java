package org.gullway.cloud;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.failover.ShardAssignment;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.scaling.FleetAutoscaler;
import org.gullway.coordination.scaling.ProvisioningRequest;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.CloudMessages.ListedMachine;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Makes the rented machines those that are wanted. Every controller asks for types; only the leader does the rest. */
public final class CloudProvisioner implements PlanningStep {
    private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final Duration TYPES_EVERY = Duration.ofSeconds(30);
    private static final Duration LIST_EVERY = Duration.ofSeconds(4);
    /** Planning goes through the whole fleet: while processor time is short, it must not take more than a small part. */
    private static final int PAUSE_PER_PLANNING_TIME = 20;

    private static final Duration REMOVE_EVERY = Duration.ofMillis(500);
    private static final Duration GONE_REMEMBERED = Duration.ofMinutes(2);

    private final EventLoop loop;
    private final HttpClient httpClient;
    private final String address;
    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final FleetAutoscaler autoscaler;
    private final Incarnation self;
    private final InstantSource timeOfDay;
    private final Runnable changed;
    private final TokenBucket budget;
    private Instant typesAt = Instant.MIN;
    private Instant listedAt = Instant.MIN;
    private int charters;
    private int groupings;
    private Instant removedAt = Instant.MIN;
    private boolean returning;
    private boolean listing;
    private boolean listedOnce;
    /** Rentals without an answer yet; each is repeated under its name until it has one. */
    private final Deque<PendingRequest> rentals = new ArrayDeque<>();

    private Instant planNotBefore = Instant.MIN;
    /** Machines rented or found that are not on record yet. */
    private final Map<String, ProvisionedMachine> unrecordedMachines = new LinkedHashMap<>();

    private final Set<String> failed = new LinkedHashSet<>();
    private final Map<String, Instant> releasedAt = new HashMap<>();

    private record PendingRequest(String charter, ProvisioningRequest request) {}

    private record ProvisionedMachine(ProvisioningRequest request, Instant rented) {}

    public CloudProvisioner(
            EventLoop loop,
            HttpClient httpClient,
            String address,
            double callsPerSecond,
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            FleetAutoscaler autoscaler,
            Incarnation self,
            InstantSource timeOfDay,
            Runnable changed) {
        this.loop = loop;
        this.httpClient = httpClient;
        this.address = address;
        this.budget = new TokenBucket(loop, callsPerSecond);
        this.clusterState = clusterState;
        this.machineTypes = machineTypes;
        this.autoscaler = autoscaler;
        this.self = self;
        this.timeOfDay = timeOfDay;
        this.changed = changed;
    }

    private boolean spend() {
        if (!budget.hasToken()) {
            return false;
        }
        budget.consume(1);
        return true;
    }

    /** Asks the cloud for what is due: types, the list of machines, and as the leader machines to provision or release. */
    public void reconcile(boolean leading) {
        Instant now = loop.now();
        if (!typesAt.plus(machineTypes.isEmpty() ? Duration.ofSeconds(1) : TYPES_EVERY)
                        .isAfter(now)
                && spend()) {
            typesAt = now;
            askTypes();
        }
        if (!leading || machineTypes.isEmpty()) {
            return;
        }
        if (!listing && !listedAt.plus(LIST_EVERY).isAfter(now) && spend()) {
            listing = true;
            listedAt = now;
            list("", new ArrayList<>());
        }
        release();
        if (rentals.isEmpty() && unrecordedMachines.isEmpty() && listedOnce && !now.isBefore(planNotBefore)) {
            List<ProvisioningRequest> planned = autoscaler.machinesToProvision(now);
            Duration took = Duration.between(now, loop.now());
            planNotBefore = now.plus(took.multipliedBy(PAUSE_PER_PLANNING_TIME));
            for (ProvisioningRequest request : planned) {
                if (!spend()) {
                    break;
                }
                PendingRequest pending = new PendingRequest(
                        self.node() + "-" + Long.toString(self.number(), 36) + "-" + ++charters, request);
                rentals.add(pending);
                provision(pending);
            }
        }
    }

    private void askTypes() {
        httpClient.call(address, HttpRequest.get("/flavors", LIMIT), response -> {
            try {
                if (response.isOk()) {
                    machineTypes.update(CloudMessages.decodeTypes(response.body()));
                    changed.run();
                    return;
                }
            } catch (MalformedMessageException e) {
                LOG.error("the cloud's machine types cannot be read: {}", e.getMessage());
            }
            typesAt = loop.now().minus(TYPES_EVERY).plusSeconds(1);
        });
    }

    private void provision(PendingRequest pending) {
        ProvisioningRequest request = pending.request();
        byte[] body = CloudMessages.encodeProvisionRequest(
                pending.charter(), request.type(), request.zone(), request.spot(), request.count());
        httpClient.call(address, HttpRequest.post("/rentals", body, LIMIT), response -> {
            boolean refused = response.outcome() == HttpResponse.Outcome.ANSWERED
                    && (response.status() == 503 || response.status() == 400);
            if (!response.isOk() && !refused) {
                // Under the same name the request rents nothing twice, whether it was carried out or not.
                loop.after(Duration.ofSeconds(1), () -> {
                    if (isLeader()) {
                        provision(pending);
                    } else {
                        rentals.remove(pending);
                    }
                });
                return;
            }
            rentals.remove(pending);
            if (response.isOk()) {
                try {
                    List<String> names = CloudMessages.decodeProvisioned(response.body());
                    LOG.info("rented {} of {}", names.size(), request);
                    names.forEach(name -> unrecordedMachines.put(name, new ProvisionedMachine(request, null)));
                    if (names.size() < request.count()) {
                        autoscaler.onCapacityExhausted(request, loop.now());
                    }
                    changed.run();
                } catch (MalformedMessageException e) {
                    LOG.error("the cloud's answer to {} cannot be read: {}", pending, e.getMessage());
                }
            } else {
                LOG.info("nothing to rent of {}: {}", request, response.status());
                autoscaler.onCapacityExhausted(request, loop.now());
            }
        });
    }

    private boolean isLeader() {
        return self.equals(clusterState.leader());
    }

    private void release() {
        if (returning) {
            return;
        }
        Set<String> names = new LinkedHashSet<>(autoscaler.machinesToRelease());
        names.removeAll(releasedAt.keySet());
        for (String name : failed) {
            if (clusterState.machine(name) == null) {
                names.add(name);
            }
        }
        release(names);
    }

    /**
     * Returns machines although nothing can be recorded, as the last way to end cancelled tasks in time. A leader that
     * finds them in its records later takes them out; to any other controller they are silent machines.
     */
    public void releaseWithoutRecord(Set<String> machines) {
        Set<String> names = new LinkedHashSet<>(machines);
        names.removeAll(releasedAt.keySet());
        if (!returning) {
            release(names);
        }
    }

    private void release(Set<String> names) {
        if (names.isEmpty() || !spend()) {
            return;
        }
        List<String> batch =
                names.stream().limit(CloudMessages.MAX_RELEASED_PER_CALL).toList();
        returning = true;
        if (LOG.isDebugEnabled()) {
            batch.forEach(this::logReturn);
        }
        httpClient.call(
                address, HttpRequest.post("/rentals/return", CloudMessages.encodeRelease(batch), LIMIT), response -> {
                    returning = false;
                    if (response.isOk()) {
                        LOG.info("returned {}", batch);
                        batch.forEach(name -> {
                            releasedAt.put(name, loop.now());
                            failed.remove(name);
                        });
                        changed.run();
                    }
                });
    }

    private void logReturn(String name) {
        MachineRecord machine = clusterState.machine(name);
        LOG.debug(
                "return of {}, which is {}, by revision {} under epoch {}",
                name,
                machine == null ? "not on record" : machine.lifecycle(),
                clusterState.machineVersion(name),
                clusterState.fencingToken());
    }

    private void list(String from, List<ListedMachine> before) {
        String path = "/rentals?from=" + from + "&page=" + CloudMessages.PAGE_SIZE;
        httpClient.call(address, HttpRequest.get(path, LIMIT), response -> {
            listing = false;
            if (!response.isOk()) {
                return;
            }
            try {
                CloudMessages.Page page = CloudMessages.decodePage(response.body());
                before.addAll(page.machines());
                if (page.more() && !page.machines().isEmpty()) {
                    listing = true;
                    list(page.machines().get(page.machines().size() - 1).name(), before);
                } else {
                    listed(before);
                }
            } catch (MalformedMessageException e) {
                LOG.error("the cloud's list cannot be read: {}", e.getMessage());
            }
        });
    }

    private void listed(List<ListedMachine> machines) {
        listedOnce = true;
        Instant now = loop.now();
        releasedAt.values().removeIf(at -> at.plus(GONE_REMEMBERED).isBefore(now));
        failed.clear();
        for (ListedMachine machine : machines) {
            if (machine.failed()) {
                if (!releasedAt.containsKey(machine.name())) {
                    failed.add(machine.name());
                }
            } else if (clusterState.machine(machine.name()) == null
                    && !releasedAt.containsKey(machine.name())
                    && !unrecordedMachines.containsKey(machine.name())) {
                unrecordedMachines.put(
                        machine.name(),
                        new ProvisionedMachine(
                                new ProvisioningRequest(machine.type(), machine.zone(), machine.spot(), 1),
                                timeOfDay.instant().minus(machine.age())));
            }
        }
        changed.run();
    }

    /** Puts on record what arrived, what failed and what is gone. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        unrecordedMachines.keySet().removeIf(name -> clusterState.machine(name) != null);
        if (!unrecordedMachines.isEmpty()) {
            ShardAssignment assignment = new ShardAssignment(
                    clusterState, transaction, Long.toString(self.number(), 36) + "-" + ++groupings);
            for (Map.Entry<String, ProvisionedMachine> entry : unrecordedMachines.entrySet()) {
                ProvisioningRequest request = entry.getValue().request();
                Instant rented = entry.getValue().rented() == null
                        ? transaction.timeOfDay()
                        : entry.getValue().rented();
                if (!assignment.assign(MachineRecord.booting(
                        entry.getKey(), request.type(), request.zone(), request.spot(), rented, self, 0))) {
                    break;
                }
            }
        }
        for (String name : failed) {
            MachineRecord machine = transaction.machine(name);
            if (machine != null
                    && machine.lifecycle() != MachineRecord.MachineLifecycle.LOST
                    && transaction.canPutMachine(name)) {
                transaction.putMachine(machine.withLifecycle(MachineRecord.MachineLifecycle.LOST));
            }
        }
        Instant now = context.now();
        if (!removedAt.plus(REMOVE_EVERY).isAfter(now)) {
            // Together, since each change of a group costs one of few changes, however many machines it concerns.
            for (String name : releasedAt.keySet()) {
                if (transaction.machine(name) != null && transaction.canPutMachine(name)) {
                    transaction.removeMachine(name);
                    removedAt = now;
                }
            }
        }
    }
}

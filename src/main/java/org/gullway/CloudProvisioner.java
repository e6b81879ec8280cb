package org.gullway;

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
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.FleetAutoscaler;
import org.gullway.coordination.GroupAssignment;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.MachineRecord;
import org.gullway.coordination.PlacementConstraints;
import org.gullway.coordination.Transaction;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.CloudMessages.Listed;
import org.gullway.protocol.MalformedException;
import org.gullway.transport.Budget;
import org.gullway.transport.Client;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Makes the rented machines those that are wanted. Every controller asks for types; only the leader does the rest. */
final class CloudProvisioner {
    private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final Duration TYPES_EVERY = Duration.ofSeconds(30);
    private static final Duration LIST_EVERY = Duration.ofSeconds(4);
    /** Planning goes through the whole fleet: while processor time is short, it must not take more than a small part. */
    private static final int PAUSE_PER_PLANNING_TIME = 20;

    private static final Duration REMOVE_EVERY = Duration.ofMillis(500);
    private static final Duration GONE_REMEMBERED = Duration.ofMinutes(2);

    private final EventLoop loop;
    private final Client http;
    private final String address;
    private final ClusterView view;
    private final PlacementConstraints placing;
    private final FleetAutoscaler fleet;
    private final Incarnation self;
    private final InstantSource timeOfDay;
    private final Runnable changed;
    private final Budget budget;
    private Instant typesAt = Instant.MIN;
    private Instant listedAt = Instant.MIN;
    private int charters;
    private int groupings;
    private Instant removedAt = Instant.MIN;
    private boolean returning;
    private boolean listing;
    private boolean listedOnce;
    /** Rentals without an answer yet; each is repeated under its name until it has one. */
    private final Deque<Pending> rentals = new ArrayDeque<>();

    private Instant planNotBefore = Instant.MIN;
    /** Machines rented or found that are not on record yet. */
    private final Map<String, Arrival> arrivals = new LinkedHashMap<>();

    private final Set<String> failed = new LinkedHashSet<>();
    private final Map<String, Instant> gone = new HashMap<>();

    private record Pending(String charter, FleetAutoscaler.Rental rental) {}

    private record Arrival(FleetAutoscaler.Rental rental, Instant rented) {}

    CloudProvisioner(
            EventLoop loop,
            Client http,
            String address,
            double callsPerSecond,
            ClusterView view,
            PlacementConstraints placing,
            FleetAutoscaler fleet,
            Incarnation self,
            InstantSource timeOfDay,
            Runnable changed) {
        this.loop = loop;
        this.http = http;
        this.address = address;
        this.budget = new Budget(loop, callsPerSecond);
        this.view = view;
        this.placing = placing;
        this.fleet = fleet;
        this.self = self;
        this.timeOfDay = timeOfDay;
        this.changed = changed;
    }

    private boolean spend() {
        if (!budget.available()) {
            return false;
        }
        budget.spend(1);
        return true;
    }

    void tick(boolean leading) {
        Instant now = loop.now();
        if (!typesAt.plus(placing.types().isEmpty() ? Duration.ofSeconds(1) : TYPES_EVERY)
                        .isAfter(now)
                && spend()) {
            typesAt = now;
            askTypes();
        }
        if (!leading || placing.types().isEmpty()) {
            return;
        }
        if (!listing && !listedAt.plus(LIST_EVERY).isAfter(now) && spend()) {
            listing = true;
            listedAt = now;
            list("", new ArrayList<>());
        }
        giveBack();
        if (rentals.isEmpty() && arrivals.isEmpty() && listedOnce && !now.isBefore(planNotBefore)) {
            List<FleetAutoscaler.Rental> planned = fleet.rentals(now);
            Duration took = Duration.between(now, loop.now());
            planNotBefore = now.plus(took.multipliedBy(PAUSE_PER_PLANNING_TIME));
            for (FleetAutoscaler.Rental rental : planned) {
                if (!spend()) {
                    break;
                }
                Pending pending =
                        new Pending(self.node() + "-" + Long.toString(self.number(), 36) + "-" + ++charters, rental);
                rentals.add(pending);
                rent(pending);
            }
        }
    }

    private void askTypes() {
        http.call(address, HttpRequest.get("/flavors", LIMIT), reply -> {
            try {
                if (reply.ok()) {
                    placing.learn(CloudMessages.types(reply.body()));
                    changed.run();
                    return;
                }
            } catch (MalformedException e) {
                LOG.error("the cloud's machine types cannot be read: {}", e.getMessage());
            }
            typesAt = loop.now().minus(TYPES_EVERY).plusSeconds(1);
        });
    }

    private void rent(Pending pending) {
        FleetAutoscaler.Rental rental = pending.rental();
        byte[] body =
                CloudMessages.rental(pending.charter(), rental.type(), rental.zone(), rental.spot(), rental.count());
        http.call(address, HttpRequest.post("/rentals", body, LIMIT), reply -> {
            boolean refused = reply.kind() == Reply.Kind.ANSWERED && (reply.status() == 503 || reply.status() == 400);
            if (!reply.ok() && !refused) {
                // Under the same name the request rents nothing twice, whether it was carried out or not.
                loop.after(Duration.ofSeconds(1), () -> {
                    if (leads()) {
                        rent(pending);
                    } else {
                        rentals.remove(pending);
                    }
                });
                return;
            }
            rentals.remove(pending);
            if (reply.ok()) {
                try {
                    List<String> names = CloudMessages.rented(reply.body());
                    LOG.info("rented {} of {}", names.size(), rental);
                    names.forEach(name -> arrivals.put(name, new Arrival(rental, null)));
                    if (names.size() < rental.count()) {
                        fleet.noCapacity(rental, loop.now());
                    }
                    changed.run();
                } catch (MalformedException e) {
                    LOG.error("the cloud's answer to {} cannot be read: {}", pending, e.getMessage());
                }
            } else {
                LOG.info("nothing to rent of {}: {}", rental, reply.status());
                fleet.noCapacity(rental, loop.now());
            }
        });
    }

    private boolean leads() {
        return self.equals(view.leader());
    }

    private void giveBack() {
        if (returning) {
            return;
        }
        Set<String> names = new LinkedHashSet<>(fleet.returns());
        names.removeAll(gone.keySet());
        for (String name : failed) {
            if (view.machine(name) == null) {
                names.add(name);
            }
        }
        giveBack(names);
    }

    /**
     * Returns machines although nothing can be recorded, as the last way to end cancelled tasks in time. A leader that
     * finds them in its records later takes them out; to any other controller they are silent machines.
     */
    void giveBackWithoutRecord(Set<String> machines) {
        Set<String> names = new LinkedHashSet<>(machines);
        names.removeAll(gone.keySet());
        if (!returning) {
            giveBack(names);
        }
    }

    private void giveBack(Set<String> names) {
        if (names.isEmpty() || !spend()) {
            return;
        }
        List<String> batch =
                names.stream().limit(CloudMessages.MOST_RETURNED_AT_ONCE).toList();
        returning = true;
        if (LOG.isDebugEnabled()) {
            batch.forEach(this::logReturn);
        }
        http.call(address, HttpRequest.post("/rentals/return", CloudMessages.giveBack(batch), LIMIT), reply -> {
            returning = false;
            if (reply.ok()) {
                LOG.info("returned {}", batch);
                batch.forEach(name -> {
                    gone.put(name, loop.now());
                    failed.remove(name);
                });
                changed.run();
            }
        });
    }

    private void logReturn(String name) {
        MachineRecord machine = view.machine(name);
        LOG.debug(
                "return of {}, which is {}, by revision {} under epoch {}",
                name,
                machine == null ? "not on record" : machine.fate(),
                view.machineMark(name),
                view.epoch());
    }

    private void list(String from, List<Listed> before) {
        String path = "/rentals?from=" + from + "&page=" + CloudMessages.PAGE;
        http.call(address, HttpRequest.get(path, LIMIT), reply -> {
            listing = false;
            if (!reply.ok()) {
                return;
            }
            try {
                CloudMessages.Page page = CloudMessages.page(reply.body());
                before.addAll(page.machines());
                if (page.more() && !page.machines().isEmpty()) {
                    listing = true;
                    list(page.machines().get(page.machines().size() - 1).name(), before);
                } else {
                    listed(before);
                }
            } catch (MalformedException e) {
                LOG.error("the cloud's list cannot be read: {}", e.getMessage());
            }
        });
    }

    private void listed(List<Listed> machines) {
        listedOnce = true;
        Instant now = loop.now();
        gone.values().removeIf(at -> at.plus(GONE_REMEMBERED).isBefore(now));
        failed.clear();
        for (Listed machine : machines) {
            if (machine.failed()) {
                if (!gone.containsKey(machine.name())) {
                    failed.add(machine.name());
                }
            } else if (view.machine(machine.name()) == null
                    && !gone.containsKey(machine.name())
                    && !arrivals.containsKey(machine.name())) {
                arrivals.put(
                        machine.name(),
                        new Arrival(
                                new FleetAutoscaler.Rental(machine.type(), machine.zone(), machine.spot(), 1),
                                timeOfDay.instant().minus(machine.age())));
            }
        }
        changed.run();
    }

    /** Puts on record what arrived, what failed and what is gone. */
    void propose(Transaction draft, Instant timeOfDay) {
        arrivals.keySet().removeIf(name -> view.machine(name) != null);
        if (!arrivals.isEmpty()) {
            GroupAssignment grouping =
                    new GroupAssignment(view, draft, Long.toString(self.number(), 36) + "-" + ++groupings);
            for (Map.Entry<String, Arrival> entry : arrivals.entrySet()) {
                FleetAutoscaler.Rental rental = entry.getValue().rental();
                Instant rented = entry.getValue().rented() == null
                        ? timeOfDay
                        : entry.getValue().rented();
                if (!grouping.add(MachineRecord.booting(
                        entry.getKey(), rental.type(), rental.zone(), rental.spot(), rented, self, 0))) {
                    break;
                }
            }
        }
        for (String name : failed) {
            MachineRecord machine = draft.machine(name);
            if (machine != null && machine.fate() != MachineRecord.Disposition.LOST && draft.canPutMachine(name)) {
                draft.putMachine(machine.meant(MachineRecord.Disposition.LOST));
            }
        }
        Instant now = loop.now();
        if (!removedAt.plus(REMOVE_EVERY).isAfter(now)) {
            // Together, since each change of a group costs one of few changes, however many machines it concerns.
            for (String name : gone.keySet()) {
                if (draft.machine(name) != null && draft.canPutMachine(name)) {
                    draft.removeMachine(name);
                    removedAt = now;
                }
            }
        }
    }
}

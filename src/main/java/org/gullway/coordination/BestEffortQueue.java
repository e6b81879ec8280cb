package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gullway.protocol.Offer;

/**
 * This controller's private queue of best-effort jobs. Spare room reported by a worker pulls a fitting task out of it,
 * teams taking equal turns; room that fits nothing here is offered to a peer chosen at random.
 */
public final class BestEffortQueue {
    /** The same machine's room is not offered to peers more often than this. */
    private static final Duration OFFER_PAUSE = Duration.ofMillis(500);

    private final ClusterView view;
    private final Placing placing;
    private final JobPauses pauses;
    private final Urgency urgency;
    private final String self;
    private final Duration offerLife;
    private final RandomGenerator random;
    private final List<String> turns = new ArrayList<>();
    private final Map<String, Foreign> foreign = new HashMap<>();
    private final Map<String, Instant> offered = new HashMap<>();

    /** Room of a peer's machine that was offered here. */
    private record Foreign(Offer offer, Instant until) {
    }

    /** An offer on its way to a peer. */
    public record Outgoing(String peer, Offer offer) {
    }

    public BestEffortQueue(ClusterView view, Placing placing, JobPauses pauses, Urgency urgency, String self,
                           Duration offerLife, RandomGenerator random) {
        this.view = view;
        this.placing = placing;
        this.pauses = pauses;
        this.urgency = urgency;
        this.self = self;
        this.offerLife = offerLife;
        this.random = random;
    }

    public void offered(Offer offer, Instant now) {
        foreign.put(offer.machine(), new Foreign(offer, now.plus(offerLife)));
    }

    /** Fills the given machines, whose workers report here, and the room offered by peers. */
    public List<Outgoing> propose(Draft draft, List<MachineRecord> own, Instant now) {
        List<JobRecord> mine = new ArrayList<>();
        boolean othersWait = false;
        for (JobRecord job : view.jobs()) {
            if (!job.reserved() && job.waiting() > 0 && !pauses.paused(job, now)) {
                if (self.equals(job.owner())) {
                    mine.add(job);
                } else {
                    othersWait = true;
                }
            }
        }
        mine.sort(Comparator.<JobRecord, org.gullway.protocol.Rank>comparing(j -> j.request().rank())
                .thenComparing(urgency::due)
                .thenComparing(j -> j.request().id()));
        Map<MachineRecord, Offer> room = new LinkedHashMap<>();
        for (MachineRecord machine : own) {
            room.put(machine, new Offer(machine.name(), machine.session(), List.of()));
        }
        for (Foreign each : foreign.values()) {
            MachineRecord machine = view.machine(each.offer().machine());
            if (machine != null && machine.takesTasks() && machine.session() == each.offer().session()
                    && now.isBefore(each.until())) {
                room.put(machine, each.offer());
            }
        }
        foreign.clear();
        room.keySet().removeIf(machine -> view.closed().contains(machine.name()));
        // A team within its guarantee need not wait for others: its jobs have their turns first.
        Guarantees guarantees = Guarantees.of(view, placing);
        Predicate<JobRecord> late = job -> urgency.tooLate(job, draft.timeOfDay());
        fill(draft, room.keySet(), mine.stream().filter(late.negate().and(guarantees::holdFor)).toList());
        fill(draft, room.keySet(), mine.stream().filter(late.negate()).toList());
        fill(draft, room.keySet(), mine);
        List<Outgoing> outgoing = new ArrayList<>();
        if (othersWait) {
            room.forEach((machine, offer) -> {
                if (placing.freeCpus(machine, draft) >= 1) {
                    List<String> asked = new ArrayList<>(offer.askedAlready());
                    asked.add(self);
                    passOn(new Offer(machine.name(), machine.session(), asked), now, outgoing);
                }
            });
        }
        return outgoing;
    }

    /** Starts tasks in equal turns of the teams until nothing more fits. */
    private void fill(Draft draft, Collection<MachineRecord> room, List<JobRecord> mine) {
        List<JobRecord> left = new ArrayList<>(mine);
        while (true) {
            JobRecord next = null;
            int nextTurn = Integer.MAX_VALUE;
            MachineRecord machine = null;
            for (Iterator<JobRecord> it = left.iterator(); it.hasNext();) {
                JobRecord job = draft.job(it.next().request().id());
                int turn = job == null ? 0 : turns.indexOf(job.request().team());
                if (turn >= nextTurn) {
                    continue;
                }
                MachineRecord best = job == null || job.waiting() == 0 || !placing.withinLimit(job.request(), draft)
                        || !draft.canPlace(job) ? null : placing.best(job, room, draft, view);
                if (best == null) {
                    it.remove();
                } else {
                    next = job;
                    nextTurn = turn;
                    machine = best;
                }
            }
            if (next == null) {
                return;
            }
            draft.place(next, next.nextWaiting(), machine);
            turns.remove(next.request().team());
            turns.add(next.request().team());
        }
    }

    private void passOn(Offer offer, Instant now, List<Outgoing> outgoing) {
        Instant last = offered.get(offer.machine());
        if (last != null && now.isBefore(last.plus(OFFER_PAUSE))) {
            return;
        }
        List<String> peers = new ArrayList<>(view.members().keySet());
        peers.remove(self);
        peers.removeAll(offer.askedAlready());
        if (!peers.isEmpty()) {
            offered.put(offer.machine(), now);
            outgoing.add(new Outgoing(peers.get(random.nextInt(peers.size())), offer));
        }
    }

    public void keepOnly(ClusterView known) {
        offered.keySet().removeIf(name -> known.machine(name) == null);
    }
}

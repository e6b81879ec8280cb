package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.assertj.core.api.ThrowableAssert;
import org.junit.jupiter.api.Test;

/** Messages between controllers are decoded as they were encoded, and malformed ones are rejected. */
class PeerMessagesTest {
    @Property(tries = 300, seed = "3")
    void resourceOffersRoundTripAndTruncatedOnesAreRejected(
            @ForAll @IntRange(min = 0) int machine,
            @ForAll long agentEpoch,
            @ForAll @Size(max = 5) List<String> declinedBy)
            throws MalformedMessageException {
        List<String> controllers = new ArrayList<>();
        declinedBy.forEach(name -> controllers.add("perch-" + Math.abs(name.hashCode() % 100)));
        List<ResourceOffer> offers = List.of(
                new ResourceOffer("vm-" + machine, Count.ofUnsignedBits(agentEpoch), controllers),
                new ResourceOffer("vm-1", Count.ONE, List.of()));
        byte[] bytes = ResourceOffer.encode(offers);
        assertThat(ResourceOffer.decode(bytes)).isEqualTo(offers);
        for (int cut = 0; cut < bytes.length; cut++) {
            byte[] part = Arrays.copyOf(bytes, cut);
            assertThatThrownBy(() -> ResourceOffer.decode(part)).isInstanceOf(MalformedMessageException.class);
        }
    }

    @Property(tries = 50, seed = "8")
    void attemptCompletionsRoundTripAndTruncatedOnesAreRejected(
            @ForAll @IntRange(min = 0, max = 99_999) int task, @ForAll long attempt, @ForAll byte outcome)
            throws MalformedMessageException {
        List<AttemptCompletion> completions = List.of(
                new AttemptCompletion(new TaskId("run-000001", task), Count.ofUnsignedBits(attempt), outcome),
                new AttemptCompletion(new TaskId("run-000002", 0), Count.ONE, (byte) 0));
        byte[] bytes = AttemptCompletion.encode(completions);
        assertThat(AttemptCompletion.decode(bytes)).isEqualTo(completions);
        for (int cut = 0; cut < bytes.length; cut++) {
            byte[] part = Arrays.copyOf(bytes, cut);
            assertThatThrownBy(() -> AttemptCompletion.decode(part)).isInstanceOf(MalformedMessageException.class);
        }
    }

    @Property(tries = 50, seed = "9")
    void cancellationsRoundTripAndTruncatedOnesAreRejected(
            @ForAll @IntRange(min = 0, max = 99_999) int task,
            @ForAll long attempt,
            @ForAll @IntRange(max = 60) int jobs)
            throws MalformedMessageException {
        List<PeerCancellations.CancelledJob> cancelledJobs = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            cancelledJobs.add(new PeerCancellations.CancelledJob(
                    "run-" + i,
                    1_700_000_000_000L + i,
                    Collections.nCopies(
                            i,
                            new PeerCancellations.CancelledAttempt(
                                    task, Count.ofUnsignedBits(attempt), "vm-" + i, Count.of(3)))));
        }
        byte[] bytes = PeerCancellations.encode("perch-1", attempt, cancelledJobs);
        assertThat(bytes.length).isLessThan(48 * 1024);
        PeerCancellations read = PeerCancellations.decode(bytes);
        assertThat(read.node()).isEqualTo("perch-1");
        assertThat(read.incarnationNumber()).isEqualTo(attempt);
        assertThat(read.jobs()).isEqualTo(cancelledJobs.subList(0, read.jobs().size()));
        assertThat(read.complete()).isEqualTo(read.jobs().size() == jobs);
        CancellationQuery query = CancellationQuery.startingAfter("", List.of("run-1", "run-2"));
        assertThat(CancellationQuery.decode(query.encode()).knownJobs()).containsExactlyInAnyOrder("run-1", "run-2");
        for (int cut = 0; cut < bytes.length; cut += 1 + bytes.length / 200) {
            byte[] part = Arrays.copyOf(bytes, cut);
            assertThatThrownBy(() -> PeerCancellations.decode(part)).isInstanceOf(MalformedMessageException.class);
        }
    }

    /** Guards against a request that peers reject for as long as the cancellations last, so that leases run out. */
    @Test
    void knownCancellationsThatDoNotFitIntoOneRequestAreDividedIntoRanges() throws MalformedMessageException {
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 4000; i++) {
            jobs.add(String.format("run-%018d", i));
        }
        Set<String> listed = new HashSet<>();
        CancellationQuery query = CancellationQuery.startingAfter("", jobs);
        for (; !query.isLast(); query = CancellationQuery.startingAfter(query.through(), jobs)) {
            byte[] request = query.encode();
            assertThat(request.length).isBetween(60 * 1024, 64 * 1024);
            assertThat(CancellationQuery.decode(request)).isEqualTo(query);
            assertThat(query.knownJobs()).hasSizeGreaterThan(2700);
            listed.addAll(query.knownJobs());
        }
        assertThat(CancellationQuery.decode(query.encode())).isEqualTo(query);
        listed.addAll(query.knownJobs());
        assertThat(listed).containsExactlyInAnyOrderElementsOf(jobs);
    }

    /** Each id lies in exactly one of the ranges, also if it is unknown to the requesting controller. */
    @Property(tries = 100, seed = "61")
    void rangesOfQueriesCoverAllIds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Set<String> known = new HashSet<>();
        for (int i = random.nextInt(9000); i > 0; i--) {
            known.add("run-" + random.nextLong(1L << random.nextInt(1, 59)));
        }
        String unknown = "run-" + random.nextLong(1L << random.nextInt(1, 59));
        known.remove(unknown);
        int asked = 0;
        CancellationQuery query = CancellationQuery.startingAfter("", known);
        for (; !query.isLast(); query = CancellationQuery.startingAfter(query.through(), known)) {
            asked += query.asksFor(unknown) ? 1 : 0;
            assertThat(known).noneMatch(query::asksFor);
        }
        asked += query.asksFor(unknown) ? 1 : 0;
        assertThat(asked).isEqualTo(1);
    }

    @Test
    void cancellationsBeyondOneMessageAreMarkedIncomplete() throws MalformedMessageException {
        List<PeerCancellations.CancelledJob> cancelledJobs = Collections.nCopies(
                20,
                new PeerCancellations.CancelledJob(
                        "run-1",
                        1,
                        Collections.nCopies(
                                200,
                                new PeerCancellations.CancelledAttempt(1, Count.of(2), "vm-000001", Count.of(3)))));
        assertThat(PeerCancellations.decode(PeerCancellations.encode("perch-1", 1, cancelledJobs))
                        .complete())
                .isFalse();
        assertThat(PeerCancellations.decode(PeerCancellations.encode("perch-1", 1, cancelledJobs.subList(0, 3)))
                        .complete())
                .isTrue();
    }

    /**
     * Guards against a text of a peer that is sent on or stored although it cannot be encoded, such as a job id in the
     * stops of cancelled tasks.
     */
    @Test
    void peerMessagesWithHalfOfASurrogatePairAreRejected() {
        String text = "x\uD83D";
        assertMalformed(() ->
                ResourceOffer.decode(ResourceOffer.encode(List.of(new ResourceOffer(text, Count.ONE, List.of())))));
        assertMalformed(() -> ResourceOffer.decode(
                ResourceOffer.encode(List.of(new ResourceOffer("vm-1", Count.ONE, List.of(text))))));
        assertMalformed(() -> AttemptCompletion.decode(
                AttemptCompletion.encode(List.of(new AttemptCompletion(new TaskId(text, 0), Count.ONE, (byte) 0)))));
        assertMalformed(() -> CancellationQuery.decode(new CancellationQuery("", "", Set.of(text)).encode()));
        assertMalformed(() -> PeerCancellations.decode(PeerCancellations.encode(text, 1, List.of())));
        assertMalformed(() ->
                PeerCancellations.decode(PeerCancellations.encode("perch-1", 1, List.of(cancelledJob(text, "vm-1")))));
        assertMalformed(() ->
                PeerCancellations.decode(PeerCancellations.encode("perch-1", 1, List.of(cancelledJob("run-1", text)))));
    }

    private static PeerCancellations.CancelledJob cancelledJob(String id, String machine) {
        return new PeerCancellations.CancelledJob(
                id, 1, List.of(new PeerCancellations.CancelledAttempt(0, Count.ONE, machine, Count.ONE)));
    }

    private static void assertMalformed(ThrowableAssert.ThrowingCallable decoding) {
        assertThatThrownBy(decoding).isInstanceOf(MalformedMessageException.class);
    }
}

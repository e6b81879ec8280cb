package org.gullway.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;

class InfeasibleRequestsTest {
    /** A machine, reduced to the properties that requests constrain. */
    private record Machine(double cpus, double memoryGb, String type, String zone, boolean spot) {
        boolean fits(JobRequest request) {
            return cpus >= request.cpus()
                    && memoryGb >= request.memoryGb()
                    && (!spot || request.spotAllowed())
                    && (request.zone() == null || request.zone().equals(zone))
                    && (request.machineTypes() == null || request.machineTypes().contains(type));
        }
    }

    @Provide
    Arbitrary<JobRequest> requests() {
        return Combinators.combine(
                        Arbitraries.of(1.0, 2.0, 4.0),
                        Arbitraries.of(1.0, 2.0, 4.0),
                        Arbitraries.of("a", "b").injectNull(0.5),
                        Arbitraries.of(List.of("small"), List.of("large"), List.of("small", "large"))
                                .injectNull(0.4),
                        Arbitraries.of(true, false),
                        Arbitraries.of(true, false, false))
                .as(InfeasibleRequestsTest::request);
    }

    private static JobRequest request(
            double cpus, double memoryGb, String zone, List<String> types, boolean spot, boolean singleZone) {
        return new JobRequest(
                "run-000001",
                "render",
                "red",
                JobRequest.Shape.ARRAY,
                Priority.NORMAL,
                3,
                cpus,
                0,
                memoryGb,
                "img-1",
                0.5,
                types,
                zone,
                singleZone,
                false,
                spot,
                Duration.ofSeconds(1),
                Duration.ZERO,
                Duration.ZERO,
                null);
    }

    @Provide
    Arbitrary<List<Machine>> machines() {
        return Combinators.combine(
                        Arbitraries.of(0.0, 1.0, 2.0, 4.0),
                        Arbitraries.of(0.0, 1.0, 2.0, 4.0),
                        Arbitraries.of("small", "large"),
                        Arbitraries.of("a", "b"),
                        Arbitraries.of(true, false))
                .as(Machine::new)
                .list()
                .ofMaxSize(4);
    }

    /**
     * Guards against false positives: reporting a request as infeasible although it fits on a machine would leave its
     * job waiting although resources are free.
     */
    @Property(tries = 1000, seed = "21")
    void knownInfeasibleRequestsFitOnNoMachine(
            @ForAll("machines") List<Machine> machines,
            @ForAll List<@From("requests") JobRequest> others,
            @ForAll("requests") JobRequest request) {
        InfeasibleRequests infeasibleRequests = new InfeasibleRequests();
        others.stream()
                .filter(other -> machines.stream().noneMatch(machine -> machine.fits(other)))
                .forEach(infeasibleRequests::add);
        if (infeasibleRequests.isKnownInfeasible(request)) {
            assertThat(machines).noneMatch(machine -> machine.fits(request));
        }
    }

    /** A request with zone constraints is not recorded, because the same request of another job may still fit. */
    @Property(tries = 200, seed = "22")
    void theSameRequestIsKnownInfeasibleUnlessItConstrainsZones(@ForAll("requests") JobRequest request) {
        InfeasibleRequests infeasibleRequests = new InfeasibleRequests();
        infeasibleRequests.add(request);
        assertThat(infeasibleRequests.isKnownInfeasible(request)).isEqualTo(!request.singleZone());
    }
}

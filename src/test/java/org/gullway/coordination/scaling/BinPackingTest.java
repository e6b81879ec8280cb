package org.gullway.coordination.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gullway.coordination.model.ResourceUsage;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MessageLimits;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

class BinPackingTest {
    private static final MachineType TYPE =
            new MachineType("small", 16, 0, 64, 50, 1, 1.0, 0.3, Duration.ofSeconds(40), List.of("a"));
    private static final MachineOffering SPOT = new MachineOffering(TYPE, "a", true);
    private static final MachineOffering ON_DEMAND = new MachineOffering(TYPE, "a", false);

    /** A number of tasks of one job request. */
    private record Batch(JobRequest request, int tasks) {}

    private static JobRequest request(double cpus, double memoryGb, boolean spot) {
        return new JobRequest(
                "run-000001",
                "render",
                "red",
                JobRequest.Shape.ARRAY,
                Priority.HIGH,
                JobRequest.MAX_TASKS,
                cpus,
                0,
                memoryGb,
                "img-1",
                0.5,
                null,
                null,
                false,
                false,
                spot,
                Duration.ofSeconds(1),
                Duration.ZERO,
                Duration.ZERO,
                null);
    }

    @Provide
    Arbitrary<Batch> batches() {
        return Combinators.combine(
                        Arbitraries.of(0.5, 1.0, 3.3, 4.0, 16.0),
                        Arbitraries.of(0.1, 2.0, 6.6, 40.0),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(1, 60))
                .as((cpus, memory, spot, tasks) -> new Batch(request(cpus, memory, spot), tasks));
    }

    /** Packing many tasks in one call must give the same machines as packing them one by one. */
    @Property(tries = 300, seed = "31")
    void packingInBatchesMatchesPackingOneByOne(
            @ForAll @Size(max = 8) List<@From("batches") Batch> batches, @ForAll @IntRange(max = 6) int existing) {
        BinPacking batched = new BinPacking(List.of(SPOT, ON_DEMAND));
        BinPacking oneByOne = new BinPacking(List.of(SPOT, ON_DEMAND));
        for (int i = 0; i < existing; i++) {
            ResourceUsage used = new ResourceUsage();
            used.cpus = i;
            batched.add(i % 2 == 0 ? SPOT : ON_DEMAND, used);
            oneByOne.add(i % 2 == 0 ? SPOT : ON_DEMAND, used);
        }
        List<Integer> packedInBatches = new ArrayList<>();
        List<Integer> packedOneByOne = new ArrayList<>();
        for (Batch batch : batches) {
            packedInBatches.add(batched.pack(batch.request(), batch.tasks()));
            int packed = 0;
            for (int i = 0; i < batch.tasks(); i++) {
                packed += oneByOne.pack(batch.request(), 1);
            }
            packedOneByOne.add(packed);
        }
        assertThat(packedInBatches).isEqualTo(packedOneByOne);
        assertThat(batched.machinesToProvision()).isEqualTo(oneByOne.machinesToProvision());
    }

    /** The tasks need 6,000 machines, which is below {@link BinPacking#MAX_NEW_MACHINES}, so all of them are packed. */
    @Test
    void packsAllTasksBelowTheMaximumOfNewMachines() {
        BinPacking packing = new BinPacking(List.of(SPOT));
        assertThat(packing.pack(request(1, 1, true), 96_000)).isEqualTo(96_000);
        assertThat(packing.machinesToProvision()).isEqualTo(Map.of(SPOT, 6_000));
    }

    /** Guards against work that waits because fewer machines are provisioned than its tasks may be placed on. */
    @Test
    void tinyTasksNeedAsManyMachinesAsTheMaximumOfAttemptsRequires() {
        BinPacking packing = new BinPacking(List.of(SPOT));
        ResourceUsage full = new ResourceUsage();
        full.tasks = MessageLimits.MAX_PLACED_ATTEMPTS;
        packing.add(SPOT, full);
        assertThat(packing.pack(request(0.001, 0.001, true), 2 * MessageLimits.MAX_PLACED_ATTEMPTS + 1))
                .isEqualTo(2 * MessageLimits.MAX_PLACED_ATTEMPTS + 1);
        assertThat(packing.machinesToProvision()).isEqualTo(Map.of(SPOT, 3));
    }

    @Test
    void stopsAtTheMaximumOfProvisionedMachines() {
        BinPacking packing = new BinPacking(List.of(SPOT));
        assertThat(packing.pack(request(16, 1, true), BinPacking.MAX_NEW_MACHINES + 5))
                .isEqualTo(BinPacking.MAX_NEW_MACHINES);
        assertThat(packing.pack(request(16, 1, true), 1)).isZero();
    }
}

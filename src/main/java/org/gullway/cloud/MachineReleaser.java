package org.gullway.cloud;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.scaling.FleetAutoscaler;
import org.gullway.protocol.CloudMessages;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Releases machines in batches, with at most one release request in flight. */
final class MachineReleaser {
    private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);

    private final EventLoop loop;
    private final CloudClient client;
    private final ClusterState clusterState;
    private final FleetAutoscaler autoscaler;
    private final CloudInventory inventory;
    private final Runnable onChange;
    private boolean releasing;

    MachineReleaser(
            EventLoop loop,
            CloudClient client,
            ClusterState clusterState,
            FleetAutoscaler autoscaler,
            CloudInventory inventory,
            Runnable onChange) {
        this.loop = loop;
        this.client = client;
        this.clusterState = clusterState;
        this.autoscaler = autoscaler;
        this.inventory = inventory;
        this.onChange = onChange;
    }

    /**
     * Releases up to one batch of the machines that the autoscaler no longer needs and of failed machines without a
     * record. Does nothing if a release is in flight or the rate limit is reached.
     */
    void releaseUnneeded() {
        if (releasing) {
            return;
        }
        Set<String> names = new LinkedHashSet<>(autoscaler.machinesToRelease());
        names.removeAll(inventory.released());
        names.addAll(inventory.failedWithoutRecord());
        releaseBatch(names);
    }

    /**
     * Releases up to one batch of the given machines, except those that were released already. Does nothing if a
     * release is in flight or the rate limit is reached.
     */
    void release(Set<String> machines) {
        if (releasing) {
            return;
        }
        Set<String> names = new LinkedHashSet<>(machines);
        names.removeAll(inventory.released());
        releaseBatch(names);
    }

    private void releaseBatch(Set<String> names) {
        if (names.isEmpty() || !client.tryAcquire()) {
            return;
        }
        List<String> batch =
                names.stream().limit(CloudMessages.MAX_RELEASED_PER_CALL).toList();
        releasing = true;
        if (LOG.isDebugEnabled()) {
            batch.forEach(this::logRelease);
        }
        client.release(batch, response -> {
            releasing = false;
            if (response.isOk()) {
                LOG.info("released machines names={}", batch);
                inventory.onReleased(batch, loop.now());
                onChange.run();
            }
        });
    }

    private void logRelease(String name) {
        MachineRecord machine = clusterState.machine(name);
        LOG.debug(
                "sending release request machine={} lifecycle={} revision={} fencing_token={}",
                name,
                machine == null ? "none" : machine.lifecycle(),
                clusterState.machineVersion(name),
                clusterState.fencingToken());
    }
}

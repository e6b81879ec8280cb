package org.gullway.cloud;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.scaling.FleetAutoscaler;
import org.gullway.protocol.CloudMessages.ListedMachine;
import org.gullway.transport.EventLoop;

/**
 * Reconciles the cloud provider's machines with those that the autoscaler wants. Every controller refreshes the machine
 * types; only the leader lists, provisions, records and releases machines.
 */
public final class CloudProvisioner implements PlanningStep {
    private final EventLoop loop;
    private final InstantSource timeOfDay;
    private final MachineTypeCatalog machineTypes;
    private final Runnable onChange;
    private final CloudInventory inventory;
    private final MachineTypeRefresh typeRefresh;
    private final MachineListing listing;
    private final MachineReleaser releaser;
    private final ScaleOutExecutor scaleOutExecutor;
    private final MachineRecorder recorder;

    /**
     * @param timeOfDay the wall clock, by which records state when a machine was provisioned
     * @param onChange is run when there may be something new to plan
     */
    public CloudProvisioner(
            EventLoop loop,
            InstantSource timeOfDay,
            CloudClient client,
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            FleetAutoscaler autoscaler,
            Incarnation self,
            Runnable onChange) {
        this.loop = loop;
        this.timeOfDay = timeOfDay;
        this.machineTypes = machineTypes;
        this.onChange = onChange;
        this.inventory = new CloudInventory(clusterState);
        this.typeRefresh = new MachineTypeRefresh(loop, client, machineTypes, onChange);
        this.listing = new MachineListing(client, this::onListed);
        this.releaser = new MachineReleaser(loop, client, clusterState, autoscaler, inventory, onChange);
        this.scaleOutExecutor = new ScaleOutExecutor(
                loop, client, autoscaler, inventory, self, () -> self.equals(clusterState.leader()), onChange);
        this.recorder = new MachineRecorder(clusterState, inventory, self);
    }

    /**
     * Sends the requests that are due.
     *
     * @param leader whether this controller is the leader and holds a valid lease
     */
    public void reconcile(boolean leader) {
        Instant now = loop.now();
        typeRefresh.refresh(now);
        if (!leader || machineTypes.isEmpty()) {
            return;
        }
        listing.refresh(now);
        releaser.releaseUnneeded();
        // What a former leader provisioned and did not record shows only in the list: without it, it would be
        // provisioned again.
        if (listing.isCompletedOnce() && scaleOutExecutor.isPlanningDue(now)) {
            scaleOutExecutor.plan(now);
        }
    }

    private void onListed(List<ListedMachine> machines) {
        inventory.onListed(machines, loop.now(), timeOfDay.instant());
        onChange.run();
    }

    /**
     * Releases machines although nothing can be recorded, as the last means to end cancelled tasks in time. A leader
     * that finds them in its records later removes them; to any other controller they are unresponsive machines.
     */
    public void releaseWithoutRecord(Set<String> machines) {
        releaser.release(machines);
    }

    /** Records what was provisioned, what failed and what was released. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        recorder.plan(transaction, context);
    }
}

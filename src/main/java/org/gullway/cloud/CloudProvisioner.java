package org.gullway.cloud;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.cycle.ErrorIsolation;
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
 * Reconciles the machines of the cloud provider with those that the autoscaler requests. Every controller refreshes the
 * machine types. Only the leader lists, provisions, records and releases machines, with one exception:
 * {@link #releaseWithoutRecord}.
 */
public final class CloudProvisioner implements PlanningStep {
    private final EventLoop loop;
    private final InstantSource wallClockTime;
    private final MachineTypeCatalog machineTypes;
    private final Runnable onChange;
    private final CloudInventory inventory;
    private final MachineTypeRefresh typeRefresh;
    private final MachineListing listing;
    private final MachineReleaser releaser;
    private final ScaleOutExecutor scaleOutExecutor;
    private final MachineRecorder recorder;

    /**
     * @param wallClockTime the wall clock, which gives the provisioning times in machine records
     * @param onChange runs after each change that may require planning
     */
    public CloudProvisioner(
            EventLoop loop,
            InstantSource wallClockTime,
            CloudClient client,
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            FleetAutoscaler autoscaler,
            Incarnation self,
            Runnable onChange) {
        this.loop = loop;
        this.wallClockTime = wallClockTime;
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
     * Sends the requests to the cloud provider that are due.
     *
     * @param leader whether this controller is the leader and holds a valid lease
     */
    public void reconcile(boolean leader) {
        Instant now = loop.now();
        ErrorIsolation.run("machine_types", () -> typeRefresh.refresh(now));
        if (!leader || machineTypes.isEmpty()) {
            return;
        }
        ErrorIsolation.run("machine_listing", () -> listing.refresh(now));
        ErrorIsolation.run("machine_release", releaser::releaseUnneeded);
        ErrorIsolation.run("scale_out", () -> planScaleOut(now));
    }

    private void planScaleOut(Instant now) {
        // Machines that a former leader provisioned but did not record appear only in the provider's list. Until this
        // controller has fetched a complete list, planning would provision duplicates of them.
        if (listing.isCompletedOnce() && scaleOutExecutor.isPlanningDue(now)) {
            scaleOutExecutor.plan(now);
        }
    }

    private void onListed(List<ListedMachine> machines) {
        inventory.onListed(machines, loop.now(), wallClockTime.instant());
        onChange.run();
    }

    /**
     * Releases up to one batch of the machines without recording it, while this controller holds no valid lease. Does
     * nothing if a release is in flight or the rate limit is reached; the caller repeats the call. This is the last
     * resort for ending cancelled tasks within their time limit. This controller removes the records of the machines if
     * it becomes the leader while its inventory still lists them as released; any other controller treats the machines
     * as unresponsive.
     */
    public void releaseWithoutRecord(Set<String> machines) {
        releaser.release(machines);
    }

    /** Updates the machine records after machines were provisioned, have failed, or were released. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        recorder.plan(transaction, context);
    }
}

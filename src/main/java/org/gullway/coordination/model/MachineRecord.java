package org.gullway.coordination.model;

import java.time.Instant;

/**
 * A provisioned machine, until the cloud has confirmed that it is gone.
 *
 * @param address where its agent takes commands; null until the first heartbeat
 * @param controller incarnation of the controller that commands it, which is its shard's
 * @param agentEpoch agent epoch in which tasks may be placed; 0 until the first heartbeat
 * @param fencingToken its shard's fencing token
 * @param provisionedAt time of day of the provisioning request, as far as known
 */
public record MachineRecord(
        String name,
        String address,
        String type,
        String zone,
        boolean spot,
        Incarnation controller,
        long agentEpoch,
        long fencingToken,
        MachineLifecycle lifecycle,
        Instant provisionedAt) {

    /** What a machine may take, and what happens to it next. */
    public enum MachineLifecycle {
        /** Takes tasks. */
        ACTIVE,
        /** Has missed a heartbeat, or does not answer commands: takes no more tasks until it is responsive again. */
        UNRESPONSIVE,
        /** Takes no more tasks and is released when it has none. */
        DRAINING,
        /** Is released at once, with all that is on it. */
        LOST
    }

    /** A machine that has been provisioned and whose agent has sent no heartbeat yet. */
    public static MachineRecord booting(
            String name,
            String type,
            String zone,
            boolean spot,
            Instant provisionedAt,
            Incarnation controller,
            long fencingToken) {
        return new MachineRecord(
                name, null, type, zone, spot, controller, 0, fencingToken, MachineLifecycle.ACTIVE, provisionedAt);
    }

    /** Names are unique, and machines are keys of maps in each scheduling cycle. */
    @Override
    public int hashCode() {
        return name.hashCode();
    }

    /** Whether its agent has sent a heartbeat. */
    public boolean isUp() {
        return agentEpoch > 0;
    }

    /** Whether tasks may be placed on it. */
    public boolean isSchedulable() {
        return isUp() && lifecycle == MachineLifecycle.ACTIVE;
    }

    /** This machine under another controller. */
    public MachineRecord claimedBy(Incarnation newController, long newFencingToken) {
        return new MachineRecord(
                name, address, type, zone, spot, newController, agentEpoch, newFencingToken, lifecycle, provisionedAt);
    }

    /** This machine in an agent epoch that has begun, so that every earlier one is over. */
    public MachineRecord withAgentEpoch(long newAgentEpoch, String newAddress) {
        return new MachineRecord(
                name, newAddress, type, zone, spot, controller, newAgentEpoch, fencingToken, lifecycle, provisionedAt);
    }

    /** This machine in another state of its lifecycle. */
    public MachineRecord withLifecycle(MachineLifecycle next) {
        return new MachineRecord(
                name, address, type, zone, spot, controller, agentEpoch, fencingToken, next, provisionedAt);
    }
}

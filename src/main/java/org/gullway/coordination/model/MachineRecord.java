package org.gullway.coordination.model;

import java.time.Instant;

/**
 * A machine that is ours, from its rental until the cloud has confirmed that it is gone.
 *
 * @param address where its worker takes commands; null until the worker has reported
 * @param controller incarnation of the controller that commands it, which is its group's
 * @param session session in which tasks may be placed; 0 until the worker has reported
 * @param epoch its group's epoch
 * @param rented time of day of the rental, as far as known
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

    /** What is meant to become of a machine. */
    public enum MachineLifecycle {
        ACTIVE,
        /** Has missed a report, or does not hear: takes no more tasks until it is heard again. */
        UNRESPONSIVE,
        /** Takes no more tasks and is returned when it has none. */
        DRAINING,
        /** Is returned at once, with all that is on it. */
        LOST
    }

    public static MachineRecord booting(
            String name,
            String type,
            String zone,
            boolean spot,
            Instant rented,
            Incarnation controller,
            long fencingToken) {
        return new MachineRecord(
                name, null, type, zone, spot, controller, 0, fencingToken, MachineLifecycle.ACTIVE, rented);
    }

    /** Names are unique, and machines with room are kept in maps in each round. */
    @Override
    public int hashCode() {
        return name.hashCode();
    }

    public boolean isUp() {
        return agentEpoch > 0;
    }

    public boolean isSchedulable() {
        return isUp() && lifecycle == MachineLifecycle.ACTIVE;
    }

    public MachineRecord claimedBy(Incarnation by, long newFencingToken) {
        return new MachineRecord(
                name, address, type, zone, spot, by, agentEpoch, newFencingToken, lifecycle, provisionedAt);
    }

    /** The worker has reported that this session has begun, so every earlier one is over. */
    public MachineRecord withAgentEpoch(long newAgentEpoch, String reportedAddress) {
        return new MachineRecord(
                name,
                reportedAddress,
                type,
                zone,
                spot,
                controller,
                newAgentEpoch,
                fencingToken,
                lifecycle,
                provisionedAt);
    }

    public MachineRecord withLifecycle(MachineLifecycle next) {
        return new MachineRecord(
                name, address, type, zone, spot, controller, agentEpoch, fencingToken, next, provisionedAt);
    }
}

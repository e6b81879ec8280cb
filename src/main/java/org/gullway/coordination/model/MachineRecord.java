package org.gullway.coordination.model;

import java.time.Instant;
import org.gullway.protocol.Count;
import org.gullway.protocol.JsonSize;
import org.gullway.protocol.MessageFields;

/**
 * The record of a provisioned machine, kept until the cloud provider confirms that the machine no longer exists.
 *
 * @param address address at which the machine's agent accepts commands; null until the first heartbeat
 * @param controller incarnation of the controller that commands the machine; the same as its shard's
 * @param agentEpoch agent epoch in which tasks may be placed; 0 until the first heartbeat. The agent raises its epoch
 *     when its lease has expired; attempts of earlier epochs are no longer running then
 * @param fencingToken fencing token of the machine's shard
 * @param provisionedAt wall-clock time at which the machine was provisioned: the time of its recording, or derived from
 *     the age that the cloud provider lists for a machine that had no record
 */
public record MachineRecord(
        String name,
        String address,
        String type,
        String zone,
        boolean spot,
        Incarnation controller,
        Count agentEpoch,
        Count fencingToken,
        MachineLifecycle lifecycle,
        Instant provisionedAt) {

    /** The encoded machine without its texts and its agent epoch. */
    private static final String OTHER_FIELDS = "[,,,false,,\"LEAVING\"," + Long.MAX_VALUE + ",\"\"],";

    /** Whether a machine accepts new tasks, and when it is released. */
    public enum MachineLifecycle {
        /** Accepts new tasks. */
        ACTIVE,
        /** Has missed a heartbeat or does not answer commands; gets no new tasks until it responds again. */
        UNRESPONSIVE,
        /** Gets no new tasks and is released once its last task has ended. */
        DRAINING,
        /** Is released at once, whether or not tasks are running on it. */
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
            Count fencingToken) {
        return new MachineRecord(
                name,
                null,
                type,
                zone,
                spot,
                controller,
                Count.ZERO,
                fencingToken,
                MachineLifecycle.ACTIVE,
                provisionedAt);
    }

    /** Upper bound for the encoded size of any machine in its shard. */
    static final int MAX_ENCODED_BYTES = OTHER_FIELDS.length()
            + JsonSize.MAX_COUNT_BYTES
            + 4 * JsonSize.maxOfText(MessageFields.MAX_TEXT_CHARACTERS);

    /** Upper bound for the encoded size of the machine in its shard. */
    int maxEncodedBytes() {
        int bytes = OTHER_FIELDS.length() + JsonSize.ofCount(agentEpoch);
        bytes += JsonSize.ofText(name) + JsonSize.ofText(type) + JsonSize.ofText(zone);
        return bytes + (address == null ? 0 : JsonSize.ofText(address));
    }

    /** Hashes only the unique name, which is fast: machines are map keys in each scheduling cycle. */
    @Override
    public int hashCode() {
        return name.hashCode();
    }

    /** Whether the machine's agent has sent its first heartbeat. */
    public boolean hasBooted() {
        return !agentEpoch.isZero();
    }

    /** Whether tasks may be placed on the machine. */
    public boolean isSchedulable() {
        return hasBooted() && lifecycle == MachineLifecycle.ACTIVE;
    }

    /** This machine, commanded by another controller. */
    public MachineRecord claimedBy(Incarnation newController, Count newFencingToken) {
        return new MachineRecord(
                name, address, type, zone, spot, newController, agentEpoch, newFencingToken, lifecycle, provisionedAt);
    }

    /** This machine in a new agent epoch; no attempt of an earlier agent epoch is running any more. */
    public MachineRecord withAgentEpoch(Count newAgentEpoch, String newAddress) {
        return new MachineRecord(
                name, newAddress, type, zone, spot, controller, newAgentEpoch, fencingToken, lifecycle, provisionedAt);
    }

    /** This machine in another state of its lifecycle. */
    public MachineRecord withLifecycle(MachineLifecycle next) {
        return new MachineRecord(
                name, address, type, zone, spot, controller, agentEpoch, fencingToken, next, provisionedAt);
    }
}

package org.gullway.coordination;

import java.time.Instant;

/**
 * A machine that is ours, from its rental until the cloud has confirmed that it is gone.
 *
 * @param controller incarnation of the controller that commands it; null until its worker has reported
 * @param session session in which tasks may be placed; 0 until the worker has reported
 * @param epoch epoch at which the controller took it over; commands of earlier controllers are fenced once the
 *     worker has confirmed this epoch
 * @param rented time of day of the rental, as far as known
 */
public record MachineRecord(String name, String address, String type, String zone, boolean spot,
                            Incarnation controller, long session, long epoch, Fate fate, Instant rented) {

    /** What is meant to become of a machine. */
    public enum Fate {
        STAYS,
        /** Takes no more tasks and is returned when it has none. */
        LEAVING,
        /** Is returned at once, with all that is on it. */
        LOST
    }

    public static MachineRecord booting(String name, String type, String zone, boolean spot, Instant rented) {
        return new MachineRecord(name, null, type, zone, spot, null, 0, 0, Fate.STAYS, rented);
    }

    public boolean up() {
        return controller != null;
    }

    public boolean takesTasks() {
        return up() && fate == Fate.STAYS;
    }

    public MachineRecord claimed(Incarnation by, String reportedAddress, long newSession, long newEpoch) {
        return new MachineRecord(name, reportedAddress, type, zone, spot, by, newSession, newEpoch, fate, rented);
    }

    public MachineRecord meant(Fate next) {
        return new MachineRecord(name, address, type, zone, spot, controller, session, epoch, next, rented);
    }
}

package org.gullway.coordination;

import org.gullway.protocol.Command;

/**
 * Decides at the moment of sending whether a task may be started: its placement is on record, the machine is this
 * controller's in that session, and the token is the present epoch. Whether the controller is entitled to act at all is
 * the caller's to check.
 */
public final class StartAuthorization {
    private final ClusterView view;
    private final Incarnation self;

    public StartAuthorization(ClusterView view, Incarnation self) {
        this.view = view;
        this.self = self;
    }

    /** Why the start must not be sent; null if it may be. */
    public String objection(CommandBatch push, Command start) {
        MachineRecord machine = view.machine(push.machine());
        if (machine == null || !machine.up() || !self.equals(machine.controller())) {
            return "the machine is not commanded here";
        }
        if (push.session() != machine.session()) {
            return "the machine is in session " + machine.session();
        }
        if (push.token() != view.epoch()) {
            return "the epoch is " + view.epoch();
        }
        JobRecord job = view.job(start.task().job());
        if (job == null || job.cancelled()) {
            return job == null ? "the job is not on record" : "the job is cancelled";
        }
        Placement placement = job.placementOf(start.task().index(), start.attempt());
        if (placement == null
                || !placement.machine().equals(push.machine())
                || placement.session() != push.session()
                || placement.stopping()) {
            return "the record has no such placement";
        }
        return null;
    }

    /** Revision of the record that allows the start. */
    public long revision(Command start) {
        return view.mark(Keys.job(start.task().job()));
    }
}

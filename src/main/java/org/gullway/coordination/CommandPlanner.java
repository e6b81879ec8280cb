package org.gullway.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gullway.protocol.Command;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.TaskReport;

/**
 * Turns the difference between the placements on record for a machine and its worker's newest message into commands. The
 * worker must have confirmed the epoch under which the machine is commanded.
 */
final class CommandPlanner {
    private final ClusterView view;

    CommandPlanner(ClusterView view) {
        this.view = view;
    }

    /** Ended attempts that the worker need not remember any more. */
    List<Command> forgets(MachineRecord record, Worker worker) {
        if (worker.tasks().isEmpty()) {
            return List.of();
        }
        List<Command> commands = new ArrayList<>();
        Map<AttemptId, Placement> wanted = view.placementsOn(record.name());
        worker.tasks().forEach((id, task) -> {
            if (task.ended() && !wanted.containsKey(id) && worker.mayForget(id, task)) {
                commands.add(Command.forget(id.task(), id.attempt()));
            }
        });
        return commands;
    }

    /** Starts of what is wanted and not there, stops of what is there and not wanted. */
    List<Command> difference(MachineRecord record, Worker worker) {
        List<Command> commands = new ArrayList<>();
        Map<AttemptId, Placement> wanted = view.placementsOn(record.name());
        wanted.forEach((id, placement) -> {
            if (placement.session() == record.session()) {
                addWanted(commands, id, placement, worker.tasks().get(id));
            }
        });
        worker.tasks().forEach((id, task) -> {
            if (!task.ended() && !wanted.containsKey(id)) {
                commands.add(Command.stop(id.task(), id.attempt(), Duration.ZERO));
            }
        });
        return commands;
    }

    private void addWanted(List<Command> commands, AttemptId id, Placement placement, TaskReport task) {
        JobRecord job = view.job(id.task().job());
        boolean stop = placement.stopping() || job.cancelled();
        if (task == null) {
            if (!stop) {
                commands.add(Command.start(id.task(), id.attempt()));
            }
        } else if (stop && !task.ended() && task.phase() != TaskReport.Phase.SAVING) {
            commands.add(Command.stop(id.task(), id.attempt(), grace(job)));
        } else if (job.cancelled() && task.phase() == TaskReport.Phase.SAVING) {
            commands.add(Command.stop(id.task(), id.attempt(), Duration.ZERO));
        }
    }

    /** Time for saving that an attempt of the job gets when it is stopped. */
    static Duration grace(JobRecord job) {
        JobRequest request = job.request();
        return job.cancelled() || !request.saves()
                ? Duration.ZERO
                : request.save().multipliedBy(2).plusSeconds(1);
    }
}

package org.gullway.coordination.agents;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MessageLimits;
import org.gullway.protocol.TaskStatus;

/**
 * Turns the difference between the placements on record for a machine and its agent's newest message into commands.
 * Before starts and stops are planned, the agent must have confirmed the fencing token under which the machine is
 * commanded.
 */
final class CommandPlanner {
    private static final Duration GRACE_MARGIN = Duration.ofSeconds(1);

    private final ClusterState clusterState;

    CommandPlanner(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Returns commands to forget ended attempts that are no longer on record. */
    List<AgentCommand> forgetCommands(MachineRecord record, AgentState agent) {
        if (agent.tasks().isEmpty()) {
            return List.of();
        }
        List<AgentCommand> commands = new ArrayList<>();
        Map<AttemptId, Placement> placements = clusterState.placementsOn(record.name());
        agent.tasks().forEach((id, task) -> {
            boolean jobDone = clusterState.isKnownDone(id.task().job());
            if (task.isEnded() && !placements.containsKey(id) && agent.mayForget(id, task, jobDone)) {
                commands.add(AgentCommand.forget(id.task(), id.attempt()));
            }
        });
        return commands;
    }

    /**
     * Returns starts of attempts that are on record but not on the machine, and stops of attempts that must no longer
     * run there. No more starts than the agent can list in a heartbeat are returned.
     */
    PlannedCommands startsAndStops(MachineRecord record, AgentState agent) {
        List<AgentCommand> commands = new ArrayList<>();
        Map<AttemptId, Placement> placements = clusterState.placementsOn(record.name());
        placements.forEach((id, placement) -> {
            if (placement.agentEpoch().equals(record.agentEpoch())) {
                addCommandFor(commands, id, placement, agent.tasks().get(id));
            }
        });
        agent.tasks().forEach((id, task) -> {
            if (!task.isEnded() && !placements.containsKey(id)) {
                commands.add(AgentCommand.stop(id.task(), id.attempt(), Duration.ZERO));
            }
        });
        int starts = countStarts(commands);
        return starts + agent.tasks().size() <= MessageLimits.MAX_LISTED_ATTEMPTS
                ? new PlannedCommands(commands, 0)
                : withListableStarts(commands, starts, record, agent);
    }

    private static int countStarts(List<AgentCommand> commands) {
        int starts = 0;
        for (AgentCommand command : commands) {
            starts += command.kind() == AgentCommand.Kind.START ? 1 : 0;
        }
        return starts;
    }

    /**
     * Leaves out the starts for which the agent's heartbeat has no room. Commands to forget ended attempts come first,
     * since the agent executes commands in order: the room of these attempts is used at once.
     */
    private PlannedCommands withListableStarts(
            List<AgentCommand> commands, int starts, MachineRecord record, AgentState agent) {
        List<AgentCommand> kept = new ArrayList<>(forgetCommands(record, agent));
        int listed = agent.tasks().size() - kept.size();
        int allowedStarts = Math.max(0, MessageLimits.MAX_LISTED_ATTEMPTS - listed);
        int keptStarts = 0;
        for (AgentCommand command : commands) {
            boolean start = command.kind() == AgentCommand.Kind.START;
            if (!start || keptStarts < allowedStarts) {
                kept.add(command);
                keptStarts += start ? 1 : 0;
            }
        }
        return new PlannedCommands(kept, starts - keptStarts);
    }

    private void addCommandFor(List<AgentCommand> commands, AttemptId id, Placement placement, TaskStatus task) {
        JobRecord job = clusterState.job(id.task().job());
        boolean stop = placement.stopping() || job.isCancelled();
        if (task == null) {
            if (!stop) {
                commands.add(AgentCommand.start(id.task(), id.attempt()));
            }
        } else if (stop && !task.isEnded() && task.phase() != TaskStatus.Phase.SAVING) {
            commands.add(AgentCommand.stop(id.task(), id.attempt(), grace(job)));
        } else if (job.isCancelled() && task.phase() == TaskStatus.Phase.SAVING) {
            // An earlier stop, made to free the machine for other work, may have granted time to save a checkpoint.
            // The cancellation withdraws that time.
            commands.add(AgentCommand.stop(id.task(), id.attempt(), Duration.ZERO));
        }
    }

    /**
     * Returns the time that an attempt of the job gets to save a checkpoint when it is stopped: twice the declared
     * checkpoint time plus a margin, or none if the job is cancelled or has no checkpoints.
     */
    static Duration grace(JobRecord job) {
        JobRequest request = job.request();
        return job.isCancelled() || !request.hasCheckpoints()
                ? Duration.ZERO
                : request.checkpointTime().multipliedBy(2).plus(GRACE_MARGIN);
    }
}

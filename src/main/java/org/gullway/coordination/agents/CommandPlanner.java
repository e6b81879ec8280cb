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
import org.gullway.protocol.TaskStatus;

/**
 * Turns the difference between the placements on record for a machine and its worker's newest message into commands. The
 * worker must have confirmed the epoch under which the machine is commanded.
 */
final class CommandPlanner {
    private final ClusterState clusterState;

    CommandPlanner(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Ended attempts that the worker need not remember any more. */
    List<AgentCommand> forgets(MachineRecord record, AgentState agent) {
        if (agent.tasks().isEmpty()) {
            return List.of();
        }
        List<AgentCommand> commands = new ArrayList<>();
        Map<AttemptId, Placement> wanted = clusterState.placementsOn(record.name());
        agent.tasks().forEach((id, task) -> {
            if (task.isEnded() && !wanted.containsKey(id) && agent.mayForget(id, task)) {
                commands.add(AgentCommand.forget(id.task(), id.attempt()));
            }
        });
        return commands;
    }

    /** Starts of what is wanted and not there, stops of what is there and not wanted. */
    List<AgentCommand> difference(MachineRecord record, AgentState agent) {
        List<AgentCommand> commands = new ArrayList<>();
        Map<AttemptId, Placement> wanted = clusterState.placementsOn(record.name());
        wanted.forEach((id, placement) -> {
            if (placement.agentEpoch() == record.agentEpoch()) {
                addWanted(commands, id, placement, agent.tasks().get(id));
            }
        });
        agent.tasks().forEach((id, task) -> {
            if (!task.isEnded() && !wanted.containsKey(id)) {
                commands.add(AgentCommand.stop(id.task(), id.attempt(), Duration.ZERO));
            }
        });
        return commands;
    }

    private void addWanted(List<AgentCommand> commands, AttemptId id, Placement placement, TaskStatus task) {
        JobRecord job = clusterState.job(id.task().job());
        boolean stop = placement.stopping() || job.isCancelled();
        if (task == null) {
            if (!stop) {
                commands.add(AgentCommand.start(id.task(), id.attempt()));
            }
        } else if (stop && !task.isEnded() && task.phase() != TaskStatus.Phase.SAVING) {
            commands.add(AgentCommand.stop(id.task(), id.attempt(), grace(job)));
        } else if (job.isCancelled() && task.phase() == TaskStatus.Phase.SAVING) {
            commands.add(AgentCommand.stop(id.task(), id.attempt(), Duration.ZERO));
        }
    }

    /** Time for saving that an attempt of the job gets when it is stopped. */
    static Duration grace(JobRecord job) {
        JobRequest request = job.request();
        return job.isCancelled() || !request.hasCheckpoints()
                ? Duration.ZERO
                : request.checkpointTime().multipliedBy(2).plusSeconds(1);
    }
}

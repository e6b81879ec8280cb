package org.gullway.coordination.model;

import org.gullway.protocol.JobState;

/**
 * The final state of a job, which is kept permanently under {@link StoreKeys#finalState}.
 *
 * @param tasks number of the job's tasks
 * @param done number of tasks that were completed
 */
public record FinalState(JobState state, int tasks, int done) implements StoreRecord {
    static FinalState of(JobRecord job) {
        return new FinalState(
                job.state(), job.request().tasks(), job.completedTasks().size());
    }
}

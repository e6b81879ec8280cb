package org.gullway.coordination.model;

import org.gullway.protocol.Count;
import org.gullway.protocol.TaskId;

/** Identifies one attempt of one task. */
public record AttemptId(TaskId task, Count attempt) {
    /** The attempt that a placement of the job records. */
    public static AttemptId of(JobRecord job, Placement placement) {
        return new AttemptId(new TaskId(job.request().id(), placement.task()), placement.attempt());
    }

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof AttemptId id && attempt.equals(id.attempt) && task.equals(id.task));
    }

    @Override
    public int hashCode() {
        return 31 * task.hashCode() + attempt.hashCode();
    }
}

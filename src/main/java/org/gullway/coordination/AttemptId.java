package org.gullway.coordination;

import org.gullway.protocol.TaskId;

/** One attempt of one task. */
public record AttemptId(TaskId task, long attempt) {
    public static AttemptId of(JobRecord job, Placement placement) {
        return new AttemptId(new TaskId(job.request().id(), placement.task()), placement.attempt());
    }
}

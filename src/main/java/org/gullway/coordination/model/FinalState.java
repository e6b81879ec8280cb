package org.gullway.coordination.model;

import org.gullway.protocol.JobState;

/** The final state of a job, which is kept for good under {@link StoreKeys#finalState}. */
public record FinalState(JobState state, int tasks, int done) implements StoreRecord {}

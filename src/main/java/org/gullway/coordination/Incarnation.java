package org.gullway.coordination;

/** One run of a controller's process: its name and a number that no other run has. */
public record Incarnation(String node, long number) {}

package org.gullway.coordination.scaling;

/**
 * The fleet's capacity beside what is needed of it, in processors.
 *
 * @param free processors that are free on schedulable machines
 * @param waiting processors that waiting tasks need, as far as quotas admit them
 * @param spare processors to keep free for reserved jobs
 */
record CapacityBalance(double free, double waiting, double spare) {
    double required() {
        return waiting + spare;
    }

    double excess() {
        return free - required();
    }
}

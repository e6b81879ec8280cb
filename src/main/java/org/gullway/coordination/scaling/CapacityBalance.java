package org.gullway.coordination.scaling;

/**
 * The free capacity of the fleet compared with the capacity that is required, in processors.
 *
 * @param free processors that are free on schedulable machines
 * @param waiting processors that waiting tasks need, as far as their quotas permit
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

package org.hemlockgw.experiment.capacity;

/**
 * One measured figure.
 *
 * @param size size at which it was measured
 * @param value the median of the repetitions
 */
record Point(double size, double value) {
}

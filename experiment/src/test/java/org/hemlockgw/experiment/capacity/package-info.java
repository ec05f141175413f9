/**
 * Tests of the capacity measurements.
 */
@NullMarked
package org.hemlockgw.experiment.capacity;

import org.jspecify.annotations.NullMarked;

/**
 * Slopes of state, processor time, memory and messages over the sizes that the capacity
 * page works with.
 */
@NullMarked
package org.hemlockgw.experiment.capacity;

import org.jspecify.annotations.NullMarked;

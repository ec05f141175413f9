/**
 * Measurement of the choice of servers: the product's rule against the former one, and
 * hash functions against each other.
 */
@NullMarked
package org.hemlockgw.experiment.placement;

import org.jspecify.annotations.NullMarked;

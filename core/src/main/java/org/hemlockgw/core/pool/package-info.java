/**
 * Queueing, load shedding and backend server selection for one pool.
 */
@NullMarked
package org.hemlockgw.core.pool;

import org.jspecify.annotations.NullMarked;

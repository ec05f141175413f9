/**
 * Queue, refusal and choice of a backend server for one pool.
 */
@NullMarked
package org.hemlockgw.core.pool;

import org.jspecify.annotations.NullMarked;

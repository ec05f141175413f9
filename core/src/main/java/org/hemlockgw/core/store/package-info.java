/**
 * Interface to the platform's sharded state store: fenced appends, reads of the latest
 * records, shard assignment.
 */
@NullMarked
package org.hemlockgw.core.store;

import org.jspecify.annotations.NullMarked;

/**
 * Port to the platform's store of shards: fenced appends, newest records, shard
 * assignment.
 */
@NullMarked
package org.hemlockgw.core.store;

import org.jspecify.annotations.NullMarked;

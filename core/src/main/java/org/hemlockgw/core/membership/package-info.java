/**
 * VM list, failure monitoring and assignment of shards and engines to daemons.
 */
@NullMarked
package org.hemlockgw.core.membership;

import org.jspecify.annotations.NullMarked;

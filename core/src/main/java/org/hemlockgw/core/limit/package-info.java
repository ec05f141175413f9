/**
 * Limits of the memory and the connections that a daemon keeps for its clients.
 */
@NullMarked
package org.hemlockgw.core.limit;

import org.jspecify.annotations.NullMarked;

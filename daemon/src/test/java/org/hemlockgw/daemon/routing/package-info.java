/**
 * Tests of the routing to owners and dispatchers.
 */
@NullMarked
package org.hemlockgw.daemon.routing;

import org.jspecify.annotations.NullMarked;

/**
 * Loopback relay that stands in for the network between two processes.
 */
@NullMarked
package org.hemlockgw.standins.relay;

import org.jspecify.annotations.NullMarked;

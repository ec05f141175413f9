/**
 * Simulated time, daemons and log for tests of the log protocol.
 */
@NullMarked
package org.hemlockgw.daemon.sim;

import org.jspecify.annotations.NullMarked;

/**
 * Daemon for opaque turns: one event loop that plays all roles.
 */
@NullMarked
package org.hemlockgw.gateway;

import org.jspecify.annotations.NullMarked;

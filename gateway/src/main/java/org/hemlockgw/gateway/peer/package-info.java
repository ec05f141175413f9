/**
 * Connections and messages between daemons.
 */
@NullMarked
package org.hemlockgw.gateway.peer;

import org.jspecify.annotations.NullMarked;

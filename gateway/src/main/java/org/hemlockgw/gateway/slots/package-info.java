/**
 * Slots at backend servers: local schedulers and those of other daemons.
 */
@NullMarked
package org.hemlockgw.gateway.slots;

import org.jspecify.annotations.NullMarked;

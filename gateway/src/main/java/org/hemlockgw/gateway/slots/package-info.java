/**
 * Slots at backend servers, granted by schedulers of this daemon and of other daemons.
 */
@NullMarked
package org.hemlockgw.gateway.slots;

import org.jspecify.annotations.NullMarked;

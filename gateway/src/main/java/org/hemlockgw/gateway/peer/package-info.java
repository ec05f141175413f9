/**
 * Messages between daemons.
 */
@NullMarked
package org.hemlockgw.gateway.peer;

import org.jspecify.annotations.NullMarked;

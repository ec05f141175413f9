/**
 * Requests between daemons over Netty, and the stubs that carry the interfaces of
 * {@code core} over them.
 */
@NullMarked
package org.hemlockgw.wire;

import org.jspecify.annotations.NullMarked;

/**
 * Tests of the transport between daemons.
 */
@NullMarked
package org.hemlockgw.wire;

import org.jspecify.annotations.NullMarked;

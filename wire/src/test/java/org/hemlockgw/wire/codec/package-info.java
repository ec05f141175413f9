/**
 * Tests.
 */
@NullMarked
package org.hemlockgw.wire.codec;

import org.jspecify.annotations.NullMarked;

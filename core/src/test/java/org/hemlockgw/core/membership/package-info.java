/**
 * Tests.
 */
@NullMarked
package org.hemlockgw.core.membership;

import org.jspecify.annotations.NullMarked;

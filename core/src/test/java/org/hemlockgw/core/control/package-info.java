/**
 * Tests.
 */
@NullMarked
package org.hemlockgw.core.control;

import org.jspecify.annotations.NullMarked;

/**
 * Tests.
 */
@NullMarked
package org.hemlockgw.daemon.control;

import org.jspecify.annotations.NullMarked;

/**
 * Records of the control stream, and the ownership and quarantine state derived from
 * them.
 */
@NullMarked
package org.hemlockgw.core.control;

import org.jspecify.annotations.NullMarked;

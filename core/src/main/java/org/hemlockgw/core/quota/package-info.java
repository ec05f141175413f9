/**
 * Decisions about usage caps of client accounts, without I/O.
 */
@NullMarked
package org.hemlockgw.core.quota;

import org.jspecify.annotations.NullMarked;

/**
 * Decisions about rate limits of client accounts, without I/O.
 */
@NullMarked
package org.hemlockgw.core.quota;

import org.jspecify.annotations.NullMarked;

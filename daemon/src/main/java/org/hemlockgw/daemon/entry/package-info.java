/**
 * HTTP interface for callers.
 */
@NullMarked
package org.hemlockgw.daemon.entry;

import org.jspecify.annotations.NullMarked;

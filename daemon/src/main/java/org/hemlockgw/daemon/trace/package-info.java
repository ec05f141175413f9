/**
 * Traces with one span for each hop.
 */
@NullMarked
package org.hemlockgw.daemon.trace;

import org.jspecify.annotations.NullMarked;

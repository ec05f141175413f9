/**
 * Controllers of ownership and failure detection.
 */
@NullMarked
package org.hemlockgw.daemon.control;

import org.jspecify.annotations.NullMarked;

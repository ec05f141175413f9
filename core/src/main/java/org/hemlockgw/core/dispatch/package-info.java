/**
 * Calls to backend servers as the dispatcher sees them.
 */
@NullMarked
package org.hemlockgw.core.dispatch;

import org.jspecify.annotations.NullMarked;

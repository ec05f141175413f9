/**
 * Explanation of what happened to a request.
 */
@NullMarked
package org.hemlockgw.core.explain;

import org.jspecify.annotations.NullMarked;

/**
 * Immutable sections shared between controllers and the request path.
 */
@NullMarked
package org.hemlockgw.core.blackboard;

import org.jspecify.annotations.NullMarked;

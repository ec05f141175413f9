/**
 * Shared state that controllers publish to the request path as immutable values.
 */
@NullMarked
package org.hemlockgw.core.blackboard;

import org.jspecify.annotations.NullMarked;

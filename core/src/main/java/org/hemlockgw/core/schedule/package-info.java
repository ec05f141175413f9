/**
 * Order of an engine's queue, choice of engines, in-flight limits and cache decisions.
 */
@NullMarked
package org.hemlockgw.core.schedule;

import org.jspecify.annotations.NullMarked;

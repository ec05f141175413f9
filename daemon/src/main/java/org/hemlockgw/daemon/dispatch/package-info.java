/**
 * The dispatcher: the queue in front of each engine, in-flight limits, stream recovery
 * and release of cache sessions.
 */
@NullMarked
package org.hemlockgw.daemon.dispatch;

import org.jspecify.annotations.NullMarked;

/**
 * Handling of callers' requests: routing, forwarding to backend servers and responses.
 */
@NullMarked
package org.hemlockgw.gateway.entry;

import org.jspecify.annotations.NullMarked;

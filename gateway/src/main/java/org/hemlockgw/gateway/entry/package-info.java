/**
 * Callers' requests.
 */
@NullMarked
package org.hemlockgw.gateway.entry;

import org.jspecify.annotations.NullMarked;

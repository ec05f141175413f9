/**
 * HTTP connections to backend servers and the store.
 */
@NullMarked
package org.hemlockgw.gateway.net;

import org.jspecify.annotations.NullMarked;

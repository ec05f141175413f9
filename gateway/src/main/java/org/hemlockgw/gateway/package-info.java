/** Gateway daemon for turns with opaque content: one event loop runs all roles. */
@NullMarked
package org.hemlockgw.gateway;

import org.jspecify.annotations.NullMarked;

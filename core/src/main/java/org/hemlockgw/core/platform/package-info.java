/**
 * Interfaces of the platform: log, VM list, engines and plain services.
 */
@NullMarked
package org.hemlockgw.core.platform;

import org.jspecify.annotations.NullMarked;

/**
 * Interfaces to external systems: the log, the VM list, model engines and plain services.
 */
@NullMarked
package org.hemlockgw.core.platform;

import org.jspecify.annotations.NullMarked;

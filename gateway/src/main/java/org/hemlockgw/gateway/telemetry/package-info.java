/** Structured logging and metrics. */
@NullMarked
package org.hemlockgw.gateway.telemetry;

import org.jspecify.annotations.NullMarked;

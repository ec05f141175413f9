package org.hemlockgw.gateway.telemetry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.turbo.TurboFilter;
import ch.qos.logback.core.spi.FilterReply;
import org.jspecify.annotations.Nullable;
import org.slf4j.Marker;

/**
 * Ends the process if an {@link OutOfMemoryError} is logged. Netty catches errors of
 * tasks and handlers and only logs them.
 */
public final class MemoryExhaustionFilter extends TurboFilter {

	@Override
	public FilterReply decide(@Nullable Marker marker, Logger logger, Level level, @Nullable String format,
			Object @Nullable [] params, @Nullable Throwable error) {
		MemoryExhaustion.exitIfCause(error);
		if (params != null) {
			for (Object param : params) {
				if (param instanceof Throwable thrown) {
					MemoryExhaustion.exitIfCause(thrown);
				}
			}
		}
		return FilterReply.NEUTRAL;
	}

}

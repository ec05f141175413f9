package org.hemlockgw.core.schedule;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;

import org.hemlockgw.core.dispatch.EngineLoad;

/**
 * Decides whether a new program is admitted. Shedding whole programs before their first
 * call leaves the engines to programs under way, whose work would otherwise be lost.
 */
public final class ProgramAdmission {

	/** Queued requests for each request in flight at which an engine counts as full. */
	private static final double FULL_QUEUE_RATIO = 0.5;

	private static final Duration MIN_RETRY = Duration.ofSeconds(1);

	private static final Duration MAX_RETRY = Duration.ofSeconds(30);

	private static final double REQUEST_SECONDS = 2;

	private ProgramAdmission() {
	}

	/**
	 * Decides on a new program.
	 * @param loads loads of the engines that could serve it; those that do not answer are
	 * left out
	 * @return empty to admit it, else the time after which it may be tried again
	 */
	public static Optional<Duration> retryAfter(Collection<EngineLoad> loads) {
		double least = Double.POSITIVE_INFINITY;
		for (EngineLoad load : loads) {
			if (load.inFlightLimit() == 0) {
				continue;
			}
			double ratio = load.queued() / (double) Math.max(1, load.inFlightLimit());
			if (ratio < FULL_QUEUE_RATIO) {
				return Optional.empty();
			}
			least = Math.min(least, ratio);
		}
		if (least == Double.POSITIVE_INFINITY) {
			return Optional.empty();
		}
		Duration wait = Duration.ofMillis((long) (least * REQUEST_SECONDS * 1_000));
		return Optional.of(clamp(wait));
	}

	private static Duration clamp(Duration wait) {
		if (wait.compareTo(MIN_RETRY) < 0) {
			return MIN_RETRY;
		}
		return (wait.compareTo(MAX_RETRY) > 0) ? MAX_RETRY : wait;
	}

}

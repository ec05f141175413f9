package org.hemlockgw.core.schedule;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;

import org.hemlockgw.core.dispatch.EngineLoad;

/**
 * Admission control for new programs. Under overload, whole programs are rejected before
 * their first call, so that the engines remain available to running programs, whose work
 * would otherwise be lost.
 */
public final class ProgramAdmission {

	/**
	 * Ratio of queued requests to the in-flight limit at which an engine counts as full.
	 */
	private static final double FULL_QUEUE_RATIO = 0.5;

	private static final Duration MIN_RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(30);

	private static final double EXPECTED_REQUEST_SECONDS = 2;

	private ProgramAdmission() {
	}

	/**
	 * Decides whether to admit a new program.
	 * @param loads loads of the engines that could serve the program; engines that do not
	 * respond are not included
	 * @return empty if the program is admitted, otherwise the delay before the next try
	 */
	public static Optional<Duration> retryAfter(Collection<EngineLoad> loads) {
		double lowestRatio = Double.POSITIVE_INFINITY;
		for (EngineLoad load : loads) {
			if (load.inFlightLimit() == 0) {
				continue;
			}
			double ratio = load.queued() / (double) Math.max(1, load.inFlightLimit());
			if (ratio < FULL_QUEUE_RATIO) {
				return Optional.empty();
			}
			lowestRatio = Math.min(lowestRatio, ratio);
		}
		if (lowestRatio == Double.POSITIVE_INFINITY) {
			return Optional.empty();
		}
		Duration delay = Duration.ofMillis((long) (lowestRatio * EXPECTED_REQUEST_SECONDS * 1_000));
		return Optional.of(clamp(delay));
	}

	private static Duration clamp(Duration delay) {
		if (delay.compareTo(MIN_RETRY_DELAY) < 0) {
			return MIN_RETRY_DELAY;
		}
		return (delay.compareTo(MAX_RETRY_DELAY) > 0) ? MAX_RETRY_DELAY : delay;
	}

}

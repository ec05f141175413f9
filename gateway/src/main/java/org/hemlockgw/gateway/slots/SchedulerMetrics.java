package org.hemlockgw.gateway.slots;

import java.util.Locale;

import org.hemlockgw.core.pool.RefusalReason;
import org.hemlockgw.core.pool.SchedulerListener;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Metrics of the schedulers of this daemon.
 */
final class SchedulerMetrics implements SchedulerListener {

	/**
	 * Lowest priority with a label of its own; priorities come from the configuration and
	 * are not bounded there.
	 */
	private static final int MAX_PRIORITY_LABEL = 9;

	private final Metrics metrics;

	SchedulerMetrics(Metrics metrics) {
		this.metrics = metrics;
	}

	@Override
	public void granted(int priority, long waitMs) {
		int label = Math.max(0, Math.min(priority, MAX_PRIORITY_LABEL));
		this.metrics.record("queue_wait_ms_priority_" + label, waitMs);
	}

	@Override
	public void refused(RefusalReason reason) {
		this.metrics
			.increment(Metrics.withLabel("scheduler_refused", "reason", reason.name().toLowerCase(Locale.ROOT)));
	}

}

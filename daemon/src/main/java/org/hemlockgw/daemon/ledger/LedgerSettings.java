package org.hemlockgw.daemon.ledger;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * Settings of ledger access.
 *
 * @param batchInterval shortest time between the starts of two appends, asked for each
 * append because it follows the number of daemons
 * @param bufferBytes most bytes of records that wait for the log
 * @param batchBytes size at which a batch takes no further records
 * @param outageThreshold age of an unanswered append from which the log counts as
 * unavailable
 * @param appendTimeout time after which an append is settled by reading
 * @param firstBackoff pause before the first retry; doubles up to {@code lastBackoff}
 * @param lastBackoff longest pause before a retry
 * @param checkpointInterval time between checkpoints, well under the log's retention
 * @param endedRetention how long an ended program stays in checkpoints
 */
public record LedgerSettings(Supplier<Duration> batchInterval, long bufferBytes, long batchBytes,
		Duration outageThreshold, Duration appendTimeout, Duration firstBackoff, Duration lastBackoff,
		Duration checkpointInterval, Duration endedRetention) {

	/** Used where the settings file states nothing. */
	public static final LedgerSettings DEFAULT = new LedgerSettings(() -> Duration.ofMillis(5), 64L << 20, 1L << 20,
			Duration.ofSeconds(2), Duration.ofSeconds(3), Duration.ofMillis(20), Duration.ofSeconds(1),
			Duration.ofMinutes(5), Duration.ofMinutes(10));

	public LedgerSettings withBatchInterval(Duration interval) {
		return withBatchInterval(() -> interval);
	}

	public LedgerSettings withBatchInterval(Supplier<Duration> interval) {
		return new LedgerSettings(interval, this.bufferBytes, this.batchBytes, this.outageThreshold, this.appendTimeout,
				this.firstBackoff, this.lastBackoff, this.checkpointInterval, this.endedRetention);
	}

	public LedgerSettings withBufferBytes(long bytes) {
		return new LedgerSettings(this.batchInterval, bytes, this.batchBytes, this.outageThreshold, this.appendTimeout,
				this.firstBackoff, this.lastBackoff, this.checkpointInterval, this.endedRetention);
	}

	public LedgerSettings withCheckpointInterval(Duration interval) {
		return new LedgerSettings(this.batchInterval, this.bufferBytes, this.batchBytes, this.outageThreshold,
				this.appendTimeout, this.firstBackoff, this.lastBackoff, interval, this.endedRetention);
	}

	/**
	 * Returns the pause before a retry.
	 * @param failures failures so far, from 1
	 * @return the pause
	 */
	public Duration backoff(int failures) {
		Duration pause = this.firstBackoff.multipliedBy(1L << Math.min(failures - 1, 16));
		return (pause.compareTo(this.lastBackoff) < 0) ? pause : this.lastBackoff;
	}

}

package org.hemlockgw.daemon.config;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.platform.LogService;

/**
 * Appends a snapshot when the latest one is old, has expired, or has a long tail, so that
 * the configuration outlives the retention of the log. Each daemon waits for a random
 * time first and finds the snapshot of a faster one, so that few are written. A
 * superfluous snapshot is harmless.
 */
final class SnapshotWriter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long MAX_TAIL_RECORDS = 512;

	private static final Duration MIN_INTERVAL = Duration.ofMinutes(3);

	// Every daemon reads every snapshot: a tenth of the 2 KB/s that control may use.
	private static final long MAX_BYTES_PER_SECOND = 200;

	private static final long MAX_DELAY_MS = 10_000;

	private final LogService log;

	private final ScheduledExecutorService executor;

	private final InstantSource clock;

	private final Supplier<ConfigState> state;

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private volatile long firstRetained;

	private volatile long lastSizeBytes;

	SnapshotWriter(LogService log, ScheduledExecutorService executor, InstantSource clock,
			Supplier<ConfigState> state) {
		this.log = log;
		this.executor = executor;
		this.clock = clock;
		this.state = state;
	}

	void onFirstRetained(long offset) {
		this.firstRetained = offset;
	}

	void writeIfDue() {
		if (!isDue() || !this.scheduled.compareAndSet(false, true)) {
			return;
		}
		long delay = ThreadLocalRandom.current().nextLong(MAX_DELAY_MS);
		try {
			this.executor.schedule(this::write, delay, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			this.scheduled.set(false);
		}
	}

	private boolean isDue() {
		ConfigState current = this.state.get();
		if (current.version() == 0) {
			return false;
		}
		boolean expired = this.firstRetained > 0 && current.snapshotOffset() <= this.firstRetained;
		boolean longTail = current.nextOffset() - current.snapshotOffset() > MAX_TAIL_RECORDS;
		boolean old = current.snapshotTime().plus(interval()).isBefore(this.clock.instant());
		return expired || longTail || old;
	}

	private Duration interval() {
		Duration bySize = Duration.ofSeconds(this.lastSizeBytes / MAX_BYTES_PER_SECOND);
		return (bySize.compareTo(MIN_INTERVAL) > 0) ? bySize : MIN_INTERVAL;
	}

	private void write() {
		ConfigState current = this.state.get();
		byte[] data = ConfigCodec.encode(current.toSnapshot());
		this.lastSizeBytes = data.length;
		if (!isDue()) {
			this.scheduled.set(false);
			return;
		}
		this.log.append(ConfigStreamReader.NAME, data).whenComplete((offset, error) -> {
			this.scheduled.set(false);
			if (error == null) {
				logger.atInfo().log("Wrote a snapshot of configuration version %d", current.version());
			}
		});
	}

}

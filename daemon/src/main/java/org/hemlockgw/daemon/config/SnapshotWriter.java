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
import org.hemlockgw.core.config.ConfigStream;
import org.hemlockgw.core.platform.LogService;

/**
 * Appends a snapshot when the latest one is old, has expired, or has a long tail. Each
 * daemon waits for a random time first and finds the snapshot of a faster one, so that
 * few are written. A superfluous snapshot is harmless.
 */
final class SnapshotWriter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long MAX_TAIL_RECORDS = 512;

	private static final Duration MAX_AGE = Duration.ofHours(1);

	private static final long MAX_DELAY_MS = 30_000;

	private final LogService log;

	private final ScheduledExecutorService executor;

	private final InstantSource clock;

	private final Supplier<ConfigState> state;

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private volatile long firstRetained;

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
		boolean longTail = current.next() - current.snapshotOffset() > MAX_TAIL_RECORDS;
		boolean old = current.snapshotTime().plus(MAX_AGE).isBefore(this.clock.instant());
		return expired || longTail || old;
	}

	private void write() {
		if (!isDue()) {
			this.scheduled.set(false);
			return;
		}
		ConfigState current = this.state.get();
		this.log.append(ConfigStream.NAME, ConfigCodec.encode(current.snapshot())).whenComplete((offset, error) -> {
			this.scheduled.set(false);
			if (error == null) {
				logger.atInfo().log("Wrote a snapshot of configuration version %d", current.version());
			}
		});
	}

}

package org.hemlockgw.daemon.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Section;
import org.hemlockgw.core.control.ControlCodec;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.ControlStateBuilder;
import org.hemlockgw.core.control.ControlStreamWriter;
import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.core.platform.LogService;
import org.hemlockgw.daemon.ledger.Retry;

/**
 * Reads the control stream by long polls and keeps its fold on the blackboard.
 */
public final class ControlStream implements ControlStreamWriter {

	/** Name of the log stream. */
	public static final String STREAM = "control";

	/**
	 * Without a successful read for this long the log counts as unavailable: no ownership
	 * changes and no daemon is reported down.
	 */
	public static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int PAGE_RECORDS = 1024;

	private static final Duration POLL_WAIT = Duration.ofSeconds(1);

	/** Answer time of the log on top of the wait, before the poll counts as lost. */
	private static final Duration POLL_TIMEOUT = POLL_WAIT.plusSeconds(1);

	private static final long RETRY_MS = 200;

	private final LogService log;

	private final ControlCodec codec;

	private final Section<ControlState> section;

	private final ScheduledExecutorService scheduler;

	private final InstantSource clock;

	private volatile @Nullable Instant lastRead;

	private volatile boolean caughtUp;

	private volatile boolean stopped;

	public ControlStream(LogService log, ControlCodec codec, Section<ControlState> section,
			ScheduledExecutorService scheduler, InstantSource clock) {
		this.log = log;
		this.codec = codec;
		this.section = section;
		this.scheduler = scheduler;
		this.clock = clock;
	}

	/** Starts to read. */
	public void start() {
		this.scheduler.execute(this::poll);
	}

	/** Ends reading after the current poll. */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Appends a record. A failure with a verdict other than {@code NOT_RUN} may have
	 * taken effect.
	 * @param record the record
	 * @return its offset
	 */
	@Override
	public CompletableFuture<Long> append(ControlRecord record) {
		return Retry.within(this.log.append(STREAM, this.codec.encode(record)), POLL_TIMEOUT, this.scheduler);
	}

	/**
	 * Tells whether the log has answered lately and everything known has been read.
	 * @return false during a log outage
	 */
	public boolean current() {
		Instant read = this.lastRead;
		return this.caughtUp && read != null
				&& Duration.between(read, this.clock.instant()).compareTo(SILENCE_LIMIT) < 0;
	}

	/**
	 * Returns the time of the last successful read, by which a dispatcher judges its
	 * lease on engines.
	 * @return the time, or {@code null} before the first
	 */
	public @Nullable Instant lastRead() {
		return this.lastRead;
	}

	private void poll() {
		if (this.stopped) {
			return;
		}
		Instant asked = this.clock.instant();
		long from = this.section.get().offset();
		Retry.within(this.log.read(STREAM, from, PAGE_RECORDS, POLL_WAIT), POLL_TIMEOUT, this.scheduler)
			.whenCompleteAsync((page, thrown) -> {
				if (thrown != null) {
					this.scheduler.schedule(this::poll, RETRY_MS, TimeUnit.MILLISECONDS);
					return;
				}
				// A paused daemon may handle an old answer, so the time of asking counts.
				this.lastRead = asked;
				fold(page);
				poll();
			}, this.scheduler);
	}

	private void fold(LogPage page) {
		ControlState before = this.section.get();
		if (page.firstOffset() > before.offset()) {
			logger.atSevere()
				.log("records %d to %d of the control stream have expired unread", before.offset(), page.firstOffset());
		}
		ControlStateBuilder fold = new ControlStateBuilder(before);
		for (LogRecord record : page.records()) {
			fold.apply(record.offset(), record.time(), decode(record));
		}
		ControlState after = fold.state();
		this.caughtUp = after.offset() >= page.nextOffset() || page.records().isEmpty();
		if (after.offset() != before.offset()) {
			this.section.set(after);
		}
	}

	private @Nullable ControlRecord decode(LogRecord record) {
		try {
			return this.codec.decode(record.data());
		}
		catch (IllegalArgumentException ex) {
			logger.atSevere().withCause(ex).log("record %d of the control stream skipped", record.offset());
			return null;
		}
	}

}

package org.hemlockgw.daemon.ledger;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerCodec;
import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.core.platform.LogService;

/**
 * Appends batches to a ledger one at a time and shows its writer every record of the
 * stream, in order and up to each batch, so that no seal is missed. One append at a time
 * is allowed.
 */
final class FencedAppender {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int PAGE_RECORDS = 256;

	private final LogService log;

	private final LedgerCodec codec;

	private final String stream;

	private final LedgerSettings settings;

	private final ScheduledExecutorService scheduler;

	private final Reader reader;

	/** Offset of the first record that the reader has not seen. */
	private volatile long expected;

	FencedAppender(LogService log, LedgerCodec codec, String stream, LedgerSettings settings,
			ScheduledExecutorService scheduler, Reader reader) {
		this.log = log;
		this.codec = codec;
		this.stream = stream;
		this.settings = settings;
		this.scheduler = scheduler;
		this.reader = reader;
	}

	/**
	 * Appends a batch and repeats that until the batch is known to be in the stream.
	 * @param batch the batch
	 * @return completes after the reader has seen it; fails when unread records have
	 * expired, so that a seal may have been missed
	 */
	CompletableFuture<Void> append(LedgerBatch batch) {
		Append append = new Append(batch, this.codec.encode(batch));
		append.send();
		return append.done;
	}

	/**
	 * Sees the records of the stream.
	 */
	interface Reader {

		/**
		 * Sees one record.
		 * @param offset its offset
		 * @param batch the batch
		 */
		void read(long offset, LedgerBatch batch);

	}

	/**
	 * One append with its retries.
	 */
	private final class Append {

		private final LedgerBatch batch;

		private final byte[] data;

		private final CompletableFuture<Void> done = new CompletableFuture<>();

		private int failures;

		private boolean found;

		private Append(LedgerBatch batch, byte[] data) {
			this.batch = batch;
			this.data = data;
		}

		private void send() {
			Retry
				.within(FencedAppender.this.log.append(FencedAppender.this.stream, this.data),
						FencedAppender.this.settings.appendTimeout(), FencedAppender.this.scheduler)
				.whenComplete((offset, thrown) -> {
					if (thrown != null) {
						failed(CallFailure.of(thrown));
					}
					else if (offset == FencedAppender.this.expected) {
						see(offset, this.batch);
						this.done.complete(null);
					}
					else {
						readUpTo(offset + 1);
					}
				});
		}

		private void failed(CallFailure failure) {
			if (failure.verdict() == Verdict.NOT_RUN) {
				pause(this::send);
			}
			else {
				pause(() -> readUpTo(Long.MAX_VALUE));
			}
		}

		// A batch that is not among the unseen records is sent again.
		private void readUpTo(long end) {
			long from = FencedAppender.this.expected;
			Retry
				.within(FencedAppender.this.log.read(FencedAppender.this.stream, from, PAGE_RECORDS, Duration.ZERO),
						FencedAppender.this.settings.appendTimeout(), FencedAppender.this.scheduler)
				.whenComplete((page, thrown) -> {
					if (thrown != null) {
						pause(() -> readUpTo(end));
					}
					else {
						read(page, from, end);
					}
				});
		}

		private void read(LogPage page, long from, long end) {
			if (page.firstOffset() > from) {
				this.done.completeExceptionally(CallFailure.notRun(ErrorCode.NOT_OWNER,
						"records of " + FencedAppender.this.stream + " expired before they were checked for seals"));
				return;
			}
			for (LogRecord record : page.records()) {
				if (record.offset() >= FencedAppender.this.expected && record.offset() < end) {
					see(record.offset(), decode(record));
				}
			}
			long next = Math.min(page.nextOffset(), end);
			if (FencedAppender.this.expected < next && !page.records().isEmpty()) {
				readUpTo(end);
			}
			else if (this.found) {
				this.done.complete(null);
			}
			else {
				pause(this::send);
			}
		}

		private LedgerBatch decode(LogRecord record) {
			try {
				return FencedAppender.this.codec.decode(record.data());
			}
			catch (IllegalArgumentException ex) {
				logger.atSevere()
					.withCause(ex)
					.log("record %d of %s skipped", record.offset(), FencedAppender.this.stream);
				return new LedgerBatch("", 0, 0, List.of());
			}
		}

		private void see(long offset, LedgerBatch seen) {
			FencedAppender.this.expected = offset + 1;
			if (seen.writer().equals(this.batch.writer()) && seen.sequence() == this.batch.sequence()) {
				this.found = true;
			}
			FencedAppender.this.reader.read(offset, seen);
		}

		private void pause(Runnable next) {
			this.failures++;
			Duration pause = FencedAppender.this.settings.backoff(this.failures);
			FencedAppender.this.scheduler.schedule(next, pause.toNanos(), TimeUnit.NANOSECONDS);
		}

	}

}

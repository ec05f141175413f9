package org.hemlockgw.gateway.entry;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.retry.CrashReport;
import org.hemlockgw.gateway.CrashLog;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Writes crash reports to the log that does not have them yet. Reports wait in memory
 * while the log is unavailable. All methods must be called on the event loop.
 */
final class CrashReportWriter {

	private static final Logger logger = LoggerFactory.getLogger(CrashReportWriter.class);

	private static final long RETRY_DELAY_MS = 1000;

	private static final int MAX_WAITING_REPORTS = 4096;

	private static final int MAX_BATCH_SIZE = 256;

	private final EventLoop loop;

	private final CrashLog log;

	private final Set<CrashReport> waiting = new LinkedHashSet<>();

	private final Set<String> waitingDeletions = new LinkedHashSet<>();

	private Set<CrashReport> stored = Set.of();

	private boolean writing;

	private boolean flushScheduled;

	CrashReportWriter(EventLoop loop, CrashLog log) {
		this.loop = loop;
		this.log = log;
	}

	/**
	 * Updates the reports that need not be written.
	 * @param reports all reports in the log
	 */
	void setStored(Collection<CrashReport> reports) {
		this.stored = Set.copyOf(reports);
	}

	/**
	 * Writes reports. Those that do not fit into the memory are dropped.
	 * @param reports the reports
	 * @param delayMs time in milliseconds in which another daemon may write them
	 */
	void write(Collection<CrashReport> reports, long delayMs) {
		for (CrashReport report : reports) {
			if (this.waiting.size() >= MAX_WAITING_REPORTS) {
				logger.atWarn()
					.addKeyValue(LogFields.DIGEST, report.digest())
					.log("too many crash reports; dropping one");
				continue;
			}
			this.waiting.add(report);
		}
		if (delayMs == 0) {
			flush();
			return;
		}
		flushLater(delayMs);
	}

	/**
	 * Drops the reports about a content that wait to be written.
	 * @param digest digest of the content
	 */
	void cancel(String digest) {
		this.waiting.removeIf((report) -> report.digest().equals(digest));
	}

	/**
	 * Deletes the reports about a content from the log.
	 * @param digest digest of the content
	 */
	void delete(String digest) {
		if (this.stored.stream().anyMatch((report) -> report.digest().equals(digest))
				&& this.waitingDeletions.size() < MAX_WAITING_REPORTS) {
			this.waitingDeletions.add(digest);
			flush();
		}
	}

	private void flushLater(long delayMs) {
		if (this.flushScheduled) {
			return;
		}
		this.flushScheduled = true;
		this.loop.schedule(() -> {
			this.flushScheduled = false;
			flush();
		}, delayMs, TimeUnit.MILLISECONDS);
	}

	private void flush() {
		this.waiting.removeAll(this.stored);
		if (this.writing || (this.waiting.isEmpty() && this.waitingDeletions.isEmpty())) {
			return;
		}
		this.writing = true;
		if (!this.waitingDeletions.isEmpty()) {
			List<String> digests = List.copyOf(this.waitingDeletions);
			this.log.delete(digests)
				.whenComplete(
						(done, error) -> handleWritten(error, () -> digests.forEach(this.waitingDeletions::remove)));
			return;
		}
		List<CrashReport> batch = this.waiting.stream().limit(MAX_BATCH_SIZE).toList();
		this.log.append(batch)
			.whenComplete((done, error) -> handleWritten(error, () -> batch.forEach(this.waiting::remove)));
	}

	private void handleWritten(@Nullable Throwable error, Runnable onSuccess) {
		this.writing = false;
		if (error != null) {
			logger.atWarn()
				.addKeyValue(LogFields.REASON, error.getMessage())
				.log("crash reports could not be stored; retrying");
			flushLater(RETRY_DELAY_MS);
			return;
		}
		onSuccess.run();
		flush();
	}

}

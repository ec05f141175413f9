package org.hemlockgw.gateway.entry;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.retry.CrashReport;
import org.hemlockgw.gateway.CrashLog;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Writes crash reports to the log that does not have them yet, and deletes others.
 * Reports wait in memory while the log is unavailable. All methods must be called on the
 * event loop.
 */
final class CrashReportWriter {

	private static final Logger logger = LoggerFactory.getLogger(CrashReportWriter.class);

	private static final long RETRY_DELAY_MS = 1000;

	private static final int MAX_WAITING_REPORTS = 4096;

	private static final int MAX_BATCH_SIZE = 256;

	private final EventLoop loop;

	private final CrashLog log;

	private final Set<CrashReport> waiting = new LinkedHashSet<>();

	private final Set<CrashReport> waitingDeletions = new LinkedHashSet<>();

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
	 * Deletes those of some reports that are stored or wait to be written.
	 * @param reports the reports
	 * @param delayMs time in milliseconds in which another daemon may delete them
	 */
	void delete(Collection<CrashReport> reports, long delayMs) {
		this.waiting.removeAll(reports);
		this.waitingDeletions.addAll(reports);
		this.waitingDeletions.retainAll(this.stored);
		if (!this.waitingDeletions.isEmpty()) {
			flushLater(delayMs);
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
		this.waitingDeletions.retainAll(this.stored);
		if (this.writing || (this.waiting.isEmpty() && this.waitingDeletions.isEmpty())) {
			return;
		}
		this.writing = true;
		boolean deleting = !this.waitingDeletions.isEmpty();
		Set<CrashReport> source = deleting ? this.waitingDeletions : this.waiting;
		List<CrashReport> batch = source.stream().limit(MAX_BATCH_SIZE).toList();
		CompletableFuture<Void> written = deleting ? this.log.delete(batch) : this.log.append(batch);
		written.whenComplete((done, error) -> {
			this.writing = false;
			if (error != null) {
				logger.atWarn()
					.addKeyValue(LogFields.REASON, error.getMessage())
					.log("crash reports could not be stored; retrying");
				flushLater(RETRY_DELAY_MS);
				return;
			}
			batch.forEach(source::remove);
			flush();
		});
	}

}

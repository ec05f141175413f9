package org.hemlockgw.core.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * In-memory log with a single stream for tests. Can simulate the faults of a real log.
 */
public final class InMemoryLog implements LogService {

	private final List<LogRecord> records = new ArrayList<>();

	private final List<CompletableFuture<LogPage>> pendingReads = new ArrayList<>();

	private int failedReads;

	private long firstOffset;

	private boolean outage;

	private boolean unresponsive;

	private int responsesToDrop;

	public synchronized void setOutage(boolean value) {
		this.outage = value;
	}

	/**
	 * Sets whether reads neither complete nor fail, as on a connection without a
	 * response.
	 * @param value whether reads never complete
	 */
	public synchronized void setUnresponsive(boolean value) {
		this.unresponsive = value;
	}

	public synchronized void dropResponses(int count) {
		this.responsesToDrop = count;
	}

	public synchronized void expireBefore(long offset) {
		this.firstOffset = offset;
	}

	public synchronized int failedReads() {
		return this.failedReads;
	}

	/**
	 * Returns the number of reads that wait for the next record.
	 * @return number of pending reads
	 */
	public synchronized long waitingReads() {
		return this.pendingReads.stream().filter((read) -> !read.isDone()).count();
	}

	public synchronized int size() {
		return this.records.size();
	}

	@Override
	public synchronized CompletableFuture<Long> append(String stream, byte[] data) {
		if (this.outage) {
			return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, "outage"));
		}
		long offset = this.records.size();
		this.records.add(new LogRecord(offset, Instant.ofEpochSecond(1_700_000_000L + offset), data));
		List<CompletableFuture<LogPage>> completed = List.copyOf(this.pendingReads);
		this.pendingReads.clear();
		completed.forEach((read) -> read.complete(page(offset, 1)));
		if (this.responsesToDrop > 0) {
			this.responsesToDrop--;
			return CompletableFuture.failedFuture(CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE, "answer lost"));
		}
		return CompletableFuture.completedFuture(offset);
	}

	@Override
	public synchronized CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
		if (this.unresponsive) {
			return new CompletableFuture<>();
		}
		if (this.outage) {
			this.failedReads++;
			return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, "outage"));
		}
		if (wait.isZero() || from < this.records.size()) {
			return CompletableFuture.completedFuture(page(from, max));
		}
		CompletableFuture<LogPage> result = new CompletableFuture<>();
		this.pendingReads.add(result);
		return result.completeOnTimeout(page(from, max), wait.toMillis(), TimeUnit.MILLISECONDS);
	}

	private LogPage page(long from, int max) {
		int start = (int) Math.min(Math.max(from, this.firstOffset), this.records.size());
		int end = (int) Math.min((long) start + max, this.records.size());
		return new LogPage(this.firstOffset, this.records.size(), List.copyOf(this.records.subList(start, end)));
	}

}

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
 * Log of a single stream for tests, with the faults of the real one.
 */
public final class InMemoryLog implements LogService {

	private final List<LogRecord> records = new ArrayList<>();

	private final List<CompletableFuture<LogPage>> waiting = new ArrayList<>();

	private int failedReads;

	private long first;

	private boolean outage;

	private boolean silent;

	private int answersToLose;

	public synchronized void setOutage(boolean value) {
		this.outage = value;
	}

	/**
	 * Lets reads neither complete nor fail, as on a connection that went silent.
	 * @param value whether reads are silent
	 */
	public synchronized void setUnresponsive(boolean value) {
		this.silent = value;
	}

	public synchronized void dropResponses(int count) {
		this.answersToLose = count;
	}

	public synchronized void expireBefore(long offset) {
		this.first = offset;
	}

	public synchronized int failedReads() {
		return this.failedReads;
	}

	/**
	 * Counts reads that wait for the next record.
	 * @return the number of reads
	 */
	public synchronized long waitingReads() {
		return this.waiting.stream().filter((read) -> !read.isDone()).count();
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
		List<CompletableFuture<LogPage>> woken = List.copyOf(this.waiting);
		this.waiting.clear();
		woken.forEach((read) -> read.complete(page(offset, 1)));
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return CompletableFuture.failedFuture(CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE, "answer lost"));
		}
		return CompletableFuture.completedFuture(offset);
	}

	@Override
	public synchronized CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
		if (this.silent) {
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
		this.waiting.add(result);
		return result.completeOnTimeout(page(from, max), wait.toMillis(), TimeUnit.MILLISECONDS);
	}

	private LogPage page(long from, int max) {
		int start = (int) Math.min(Math.max(from, this.first), this.records.size());
		int end = (int) Math.min((long) start + max, this.records.size());
		return new LogPage(this.first, this.records.size(), List.copyOf(this.records.subList(start, end)));
	}

}

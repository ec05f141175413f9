package org.hemlockgw.experiment.capacity;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogService;

/**
 * Counts the appends to a log.
 */
final class CountingLog implements LogService {

	private final LogService log;

	private final AtomicLong appends = new AtomicLong();

	CountingLog(LogService log) {
		this.log = log;
	}

	long appends() {
		return this.appends.get();
	}

	@Override
	public CompletableFuture<Long> append(String stream, byte[] data) {
		this.appends.incrementAndGet();
		return this.log.append(stream, data);
	}

	@Override
	public CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
		return this.log.read(stream, from, max, wait);
	}

}

package org.hemlockgw.standins.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;

/**
 * Records of one stream. Its monitor is notified of each append.
 */
final class RetainedStream {

	private static final int MAX_PAGE_BYTES = 4 * 1024 * 1024;

	private final List<LogRecord> records = new ArrayList<>();

	private long next;

	private long bytes;

	private long wakeUps;

	synchronized long append(byte[] data, Instant now) {
		this.records.add(new LogRecord(this.next, now, data));
		this.bytes += data.length;
		notifyAll();
		return this.next++;
	}

	synchronized LogPage page(long from, int max) {
		long first = first();
		List<LogRecord> page = new ArrayList<>();
		long size = 0;
		for (long offset = Math.max(from, first); offset < this.next && page.size() < max; offset++) {
			LogRecord record = this.records.get((int) (offset - first));
			size += record.data().length;
			if (size > MAX_PAGE_BYTES && !page.isEmpty()) {
				break;
			}
			page.add(record);
		}
		return new LogPage(first, this.next, page);
	}

	/**
	 * Waits for a record at an offset or for {@link #wake()}.
	 * @param from the offset
	 * @param wait longest wait
	 * @throws InterruptedException when the server stops
	 */
	synchronized void await(long from, Duration wait) throws InterruptedException {
		long deadlineNs = System.nanoTime() + wait.toNanos();
		long seen = this.wakeUps;
		while (this.next <= from && this.wakeUps == seen) {
			long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
			if (leftMs <= 0) {
				return;
			}
			wait(leftMs);
		}
	}

	synchronized void wake() {
		this.wakeUps++;
		notifyAll();
	}

	synchronized void expire(Instant oldestKept) {
		int expired = 0;
		while (expired < this.records.size() && this.records.get(expired).time().isBefore(oldestKept)) {
			expired++;
		}
		this.records.subList(0, expired).clear();
	}

	synchronized LogStreamStats stats() {
		return new LogStreamStats(this.next, this.bytes, first());
	}

	private long first() {
		return this.next - this.records.size();
	}

}

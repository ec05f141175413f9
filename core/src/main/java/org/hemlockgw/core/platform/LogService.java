package org.hemlockgw.core.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log. A failed append may still have taken effect, except
 * when it fails with verdict {@code NOT_RUN}. Futures fail with
 * {@link org.hemlockgw.core.common.CallFailure} of code {@code LOG_UNAVAILABLE} only.
 */
public interface LogService {

	/**
	 * Appends one record.
	 * @param stream name of the stream, created on first use
	 * @param data the bytes
	 * @return the record's offset
	 */
	CompletableFuture<Long> append(String stream, byte[] data);

	/**
	 * Reads records.
	 * @param stream name of the stream; an unknown stream is empty
	 * @param from first offset wanted
	 * @param max most records to return
	 * @param wait how long the log may wait for a record when there is none
	 * @return the page
	 */
	CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait);

}

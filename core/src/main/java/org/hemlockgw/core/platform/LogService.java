package org.hemlockgw.core.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's append-only log. A failed append may have taken effect unless
 * its verdict is {@code NOT_RUN}. Futures fail only with a
 * {@link org.hemlockgw.core.common.CallFailure} of code {@code LOG_UNAVAILABLE}.
 */
public interface LogService {

	/**
	 * Appends one record.
	 * @param stream name of the stream, which is created on first use
	 * @param data content of the record
	 * @return the offset of the record
	 */
	CompletableFuture<Long> append(String stream, byte[] data);

	/**
	 * Reads records of a stream.
	 * @param stream name of the stream; an unknown stream is empty
	 * @param from offset of the first record to read
	 * @param max maximum number of records to return
	 * @param wait maximum time to wait for a new record if there is none at {@code from}
	 * @return the page
	 */
	CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait);

}

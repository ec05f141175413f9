package org.hemlockgw.remote;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory for response bodies that are read whole: for each one and for all
 * together. A faulty server may send data without end. Thread-safe.
 */
final class BodyMemory {

	/** Limits of this process. */
	static final BodyMemory SHARED = ofHeap(Runtime.getRuntime().maxMemory());

	/**
	 * Fraction of the heap for all bodies; the copies that are made of a body take
	 * several times its size.
	 */
	private static final double HEAP_FRACTION = 0.1;

	/**
	 * Size in bytes up to which a body is read in any case, so that large ones don't make
	 * others fail.
	 */
	static final int GUARANTEED_BYTES = 64 * 1024;

	private static final int BUFFER_BYTES = 16 * 1024;

	private final long maxBodyBytes;

	private final long maxTotalBytes;

	private final AtomicLong totalBytes = new AtomicLong();

	/**
	 * Creates the limits.
	 * @param maxBodyBytes maximum size of a body in bytes
	 * @param maxTotalBytes maximum size of all bodies in bytes
	 */
	BodyMemory(long maxBodyBytes, long maxTotalBytes) {
		this.maxBodyBytes = maxBodyBytes;
		this.maxTotalBytes = maxTotalBytes;
	}

	private static BodyMemory ofHeap(long heapBytes) {
		long total = Math.round(heapBytes * HEAP_FRACTION);
		return new BodyMemory(total / 2, total);
	}

	/**
	 * Reads a body to its end.
	 * @param in the body
	 * @return its bytes
	 * @throws IOException if a limit is exceeded or reading fails
	 */
	byte[] read(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				long total = this.totalBytes.addAndGet(count);
				body.write(buffer, 0, count);
				if (body.size() > this.maxBodyBytes || (body.size() > GUARANTEED_BYTES && total > this.maxTotalBytes)) {
					throw new IOException(
							"response body is larger than the memory for it, after " + body.size() + " bytes");
				}
			}
			return body.toByteArray();
		}
		finally {
			this.totalBytes.addAndGet(-body.size());
		}
	}

}

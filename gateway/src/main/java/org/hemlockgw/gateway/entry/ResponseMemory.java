package org.hemlockgw.gateway.entry;

/**
 * Limits the memory for responses of backend servers that are kept until they are
 * complete: for each response and for all together. A faulty server may send data without
 * end.
 */
public final class ResponseMemory {

	/**
	 * Fraction of the heap for all responses; the copies that are made of a response take
	 * several times its size.
	 */
	private static final double HEAP_FRACTION = 0.1;

	/**
	 * Size in bytes up to which a response is kept in any case, so that large responses
	 * don't make others fail.
	 */
	static final int GUARANTEED_BYTES = 64 * 1024;

	private final long maxResponseBytes;

	private final long maxTotalBytes;

	private long totalBytes;

	/**
	 * Creates the limits.
	 * @param maxResponseBytes maximum size of a response in bytes
	 * @param maxTotalBytes maximum size of all responses in bytes
	 */
	ResponseMemory(long maxResponseBytes, long maxTotalBytes) {
		this.maxResponseBytes = maxResponseBytes;
		this.maxTotalBytes = maxTotalBytes;
	}

	/**
	 * Creates limits that suit a heap. A single response may take half of the memory.
	 * @param heapBytes maximum size of the heap in bytes
	 * @return the limits
	 */
	public static ResponseMemory ofHeap(long heapBytes) {
		long total = Math.round(heapBytes * HEAP_FRACTION);
		return new ResponseMemory(total / 2, total);
	}

	/**
	 * Reserves memory for the next part of a response.
	 * @param responseBytes bytes that the response has reserved so far
	 * @param partBytes size of the part in bytes
	 * @return false if a limit would be exceeded; nothing is reserved in that case
	 */
	boolean reserve(long responseBytes, int partBytes) {
		long nextBytes = responseBytes + partBytes;
		if (nextBytes > this.maxResponseBytes
				|| (nextBytes > GUARANTEED_BYTES && this.totalBytes + partBytes > this.maxTotalBytes)) {
			return false;
		}
		this.totalBytes += partBytes;
		return true;
	}

	void release(long bytes) {
		this.totalBytes -= bytes;
	}

}

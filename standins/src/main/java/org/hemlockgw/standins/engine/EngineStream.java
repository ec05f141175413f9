package org.hemlockgw.standins.engine;

import java.io.IOException;
import java.io.InterruptedIOException;

/**
 * Answer of one request as far as it has been generated. Connections wait on it for more
 * tokens.
 */
final class EngineStream {

	private final EngineJob job;

	private final String model;

	private final long digest;

	private long produced;

	private long cachedTokens;

	private boolean finished;

	private boolean lost;

	EngineStream(EngineJob job, String model, long digest) {
		this.job = job;
		this.model = model;
		this.digest = digest;
		this.produced = job.firstOffset();
	}

	EngineJob job() {
		return this.job;
	}

	String model() {
		return this.model;
	}

	long digest() {
		return this.digest;
	}

	synchronized void add(EngineProgress progress) {
		this.produced = progress.index() + 1;
		this.cachedTokens = progress.cachedTokens();
		this.finished = progress.last();
		notifyAll();
	}

	/** Marks the stream as cancelled or lost in a crash. */
	synchronized void lose() {
		this.lost = true;
		notifyAll();
	}

	synchronized boolean running() {
		return !this.finished && !this.lost;
	}

	synchronized long cachedTokens() {
		return this.cachedTokens;
	}

	/**
	 * Waits until tokens after an offset are there or the answer has ended.
	 * @param offset the offset
	 * @return index after the last token generated; the offset itself at the end
	 * @throws IOException when the stream was cancelled or lost
	 */
	synchronized long await(long offset) throws IOException {
		while (this.produced <= offset && !this.finished && !this.lost) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				throw new InterruptedIOException();
			}
		}
		if (this.lost) {
			throw new IOException("the stream is lost");
		}
		return Math.max(offset, this.produced);
	}

}

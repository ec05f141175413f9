package org.hemlockgw.standins.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.hemlockgw.standins.http.Exchange;
import org.hemlockgw.standins.http.StandinHttpServer;

/**
 * Applies a {@link StoreFault} to calls.
 */
final class FaultInjector {

	/** Time for which a connection without an answer stays open. */
	private static final Duration SILENCE = Duration.ofSeconds(20);

	private static final Duration SLOW_DELAY = Duration.ofMillis(400);

	/** Share of the calls that are not answered while answers are lost. */
	static final double LOSS_SHARE = 0.5;

	private StoreFault fault = StoreFault.NONE;

	private StoreFault lastInterruption = StoreFault.NONE;

	private long interruptionCount;

	private Random random = new Random(0);

	synchronized void setFault(StoreFault value) {
		this.fault = value;
		if (value == StoreFault.RESET || value == StoreFault.SILENT) {
			this.lastInterruption = value;
			this.interruptionCount++;
		}
	}

	synchronized void setSeed(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Returns how often calls in progress were interrupted.
	 * @return number of faults that interrupt calls in progress
	 */
	synchronized long interruptionCount() {
		return this.interruptionCount;
	}

	private synchronized StoreFault fault() {
		return this.fault;
	}

	private synchronized StoreFault lastInterruption() {
		return this.lastInterruption;
	}

	private synchronized boolean isNextAnswerLost() {
		return this.random.nextDouble() < LOSS_SHARE;
	}

	/**
	 * Handles a call.
	 * @param exchange the call
	 * @param store executes the call and sets its answer
	 * @throws IOException to break the connection without an answer
	 */
	void handle(Exchange exchange, StandinHttpServer.Handler store) throws IOException {
		long countBefore = interruptionCount();
		switch (fault()) {
			case NONE -> store.handle(exchange);
			case BUSY -> exchange.respondError(503, "busy");
			case RESET -> throw new IOException("connection is reset");
			case SILENT -> {
				exchange.body();
				keepSilent();
			}
			case SLOW -> {
				pause(SLOW_DELAY);
				store.handle(exchange);
			}
			case LOSING -> {
				store.handle(exchange);
				if (isNextAnswerLost()) {
					keepSilent();
				}
			}
		}
		if (interruptionCount() != countBefore) {
			if (lastInterruption() == StoreFault.SILENT) {
				keepSilent();
			}
			throw new IOException("connection is reset");
		}
	}

	static void keepSilent() throws IOException {
		pause(SILENCE);
		throw new IOException("answer is lost");
	}

	static void pause(Duration time) throws IOException {
		try {
			TimeUnit.NANOSECONDS.sleep(time.toNanos());
		}
		catch (InterruptedException ex) {
			throw new IOException("stopped", ex);
		}
	}

}

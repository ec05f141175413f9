package org.hemlockgw.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.daemon.dispatch.DispatcherService;
import org.hemlockgw.daemon.entry.CallerServer;
import org.hemlockgw.wire.PeerServer;

/**
 * Stops a daemon without cutting a request: readiness off, no new programs, shards and
 * engines released, open requests finished.
 */
public final class GracefulShutdown implements Runnable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The balancer takes this long to see that readiness is off. */
	private static final Duration BALANCER_DELAY = Duration.ofSeconds(1);

	/** More than the longest call that the default limits allow. */
	private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(6);

	private static final long POLL_MS = 20;

	private final CallerServer callers;

	private final PeerServer peers;

	private final DispatcherService dispatcher;

	private final Supplier<CompletableFuture<Void>> release;

	private final Runnable close;

	private final AtomicBoolean begun = new AtomicBoolean();

	private final CountDownLatch done = new CountDownLatch(1);

	GracefulShutdown(CallerServer callers, PeerServer peers, DispatcherService dispatcher,
			Supplier<CompletableFuture<Void>> release, Runnable close) {
		this.callers = callers;
		this.peers = peers;
		this.dispatcher = dispatcher;
		this.release = release;
		this.close = close;
	}

	/**
	 * Tells whether the shutdown has begun.
	 * @return true from the first run on
	 */
	public boolean begun() {
		return this.begun.get();
	}

	/**
	 * Waits for the end of the shutdown.
	 * @throws InterruptedException if the thread was interrupted
	 */
	public void await() throws InterruptedException {
		this.done.await();
	}

	@Override
	public void run() {
		try {
			if (this.begun.compareAndSet(false, true)) {
				drain();
				this.done.countDown();
			}
			await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void drain() throws InterruptedException {
		logger.atInfo().log("graceful shutdown begins");
		Thread.sleep(BALANCER_DELAY.toMillis());
		this.callers.startDraining();
		long deadline = System.nanoTime() + DRAIN_TIMEOUT.toNanos();
		try {
			this.release.get().get(DRAIN_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			logger.atWarning().log("shards and engines were not all released: %s", ex);
		}
		awaitUntil("callers' requests", deadline, () -> this.callers.openRequests() == 0);
		awaitUntil("dispatched requests", deadline, this.dispatcher::isIdle);
		awaitUntil("peers' requests", deadline, () -> this.peers.openRequests() == 0);
		this.close.run();
		logger.atInfo().log("graceful shutdown is complete");
	}

	private static void awaitUntil(String what, long deadline, BooleanSupplier condition) throws InterruptedException {
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadline > 0) {
				logger.atWarning().log("%s are still open after %s", what, DRAIN_TIMEOUT);
				return;
			}
			Thread.sleep(POLL_MS);
		}
	}

}

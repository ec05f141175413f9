package org.hemlockgw.remote;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import org.hemlockgw.core.common.CallFailure;

/**
 * Helpers for calls against stand-ins on loopback.
 */
final class TestCalls {

	static final String ANY_PORT = "127.0.0.1:0";

	/** Bound of each wait; the calls under test take milliseconds. */
	static final Duration LIMIT = Duration.ofSeconds(20);

	static final ExecutorService EXECUTOR = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "platform-tests");
		thread.setDaemon(true);
		return thread;
	});

	private TestCalls() {
	}

	static <T> T get(CompletableFuture<T> future) throws Exception {
		return future.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
	}

	static CallFailure failure(CompletableFuture<?> future) throws InterruptedException, TimeoutException {
		try {
			Object result = future.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
			throw new AssertionError("expected a failure, got " + result);
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof CallFailure failure) {
				return failure;
			}
			throw new AssertionError("expected a CallFailure", ex);
		}
	}

	static void await(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadline) {
				throw new AssertionError("the condition did not hold within " + LIMIT);
			}
			Thread.sleep(1);
		}
	}

	/**
	 * Returns an address on which nothing listens.
	 * @return ip:port
	 * @throws IOException when no port is free
	 */
	static String refusingAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

}

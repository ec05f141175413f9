package org.hemlockgw.gateway.telemetry;

import org.jspecify.annotations.Nullable;

/**
 * Ends the process if memory is exhausted. After an {@link OutOfMemoryError} in the event
 * loop, state may be lost anywhere, and the process would live on without answering. The
 * JVM option {@code ExitOnOutOfMemoryError} covers the heap, this class also direct
 * memory.
 */
public final class MemoryExhaustion {

	/** Exit status, the same as that of the JVM option. */
	public static final int EXIT_STATUS = 3;

	private static final int MAX_CAUSES = 8;

	private MemoryExhaustion() {
	}

	/**
	 * Ends the process if an error is or was caused by an {@link OutOfMemoryError}.
	 * @param error the error; null is ignored
	 */
	public static void exitIfCause(@Nullable Throwable error) {
		if (isCause(error)) {
			System.out.println("{\"timestamp\":" + System.currentTimeMillis() + ",\"level\":\"ERROR\",\"loggerName\":\""
					+ MemoryExhaustion.class.getName()
					+ "\",\"formattedMessage\":\"memory is exhausted, exiting with status " + EXIT_STATUS + ": "
					+ String.valueOf(error).replaceAll("[\"\\\\\\p{Cntrl}]", " ") + "\"}");
			System.out.flush();
			Runtime.getRuntime().halt(EXIT_STATUS);
		}
	}

	/**
	 * Returns whether an error is or was caused by an {@link OutOfMemoryError}.
	 * @param error the error; null if there is none
	 * @return whether memory is exhausted
	 */
	static boolean isCause(@Nullable Throwable error) {
		Throwable cause = error;
		for (int depth = 0; cause != null && depth < MAX_CAUSES; depth++) {
			if (cause instanceof OutOfMemoryError) {
				return true;
			}
			cause = cause.getCause();
		}
		return false;
	}

}

package org.hemlockgw.core.dispatch;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.EventSink;

/**
 * The dispatcher's interface, used by the program owner in the same daemon or over the
 * network. Futures fail with {@link org.hemlockgw.core.common.CallFailure} only. A
 * failure of code {@code BACKEND_FAILED} means that the engine died or broke the stream
 * while the request was on it.
 */
public interface Dispatcher {

	CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink);

	/**
	 * Cancels an attempt; its future then fails with {@code CANCELLED}.
	 * @param engine name of the backend server
	 * @param attemptId the attempt
	 */
	void cancel(String engine, String attemptId);

	/**
	 * Releases the cache session of an ended program, repeated until the engine's own
	 * list no longer shows it.
	 * @param engine name of the backend server
	 * @param program the ended program
	 */
	void releaseSession(String engine, ProgramId program);

}

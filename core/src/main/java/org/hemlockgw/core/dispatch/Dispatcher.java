package org.hemlockgw.core.dispatch;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.EventSink;

/**
 * Sends model turns to engines. It is called by the program owner, either in the same
 * daemon or over the network. Futures fail only with
 * {@link org.hemlockgw.core.common.CallFailure}. Error code {@code BACKEND_FAILED} means
 * that the engine crashed or broke the stream while it was processing the request.
 */
public interface Dispatcher {

	/**
	 * Starts an attempt.
	 * @param request the attempt
	 * @param sink receives the events of the response
	 * @return the result of the finished attempt
	 */
	CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink);

	/**
	 * Cancels an attempt. Its future then fails with {@code CANCELLED}.
	 * @param engine name of the backend server
	 * @param attemptId identifier of the attempt
	 */
	void cancel(String engine, String attemptId);

	/**
	 * Releases the cache session of an ended program. The release is repeated until the
	 * session list of the engine no longer contains it.
	 * @param engine name of the backend server
	 * @param program identifier of the ended program
	 */
	void releaseSession(String engine, ProgramId program);

}

package org.hemlockgw.core.program;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;

/**
 * Interface of the program owner. The entry uses it in the same daemon or over the
 * network. Futures fail with {@link org.hemlockgw.core.common.CallFailure} only;
 * {@code NOT_OWNER} means that the caller should look up the owner again.
 */
public interface ProgramService {

	CompletableFuture<ProgramView> open(OpenProgram command);

	CompletableFuture<ProgramView> get(ProgramId program);

	/**
	 * Ends a program and its children and releases their cache sessions on the engines.
	 * Idempotent.
	 * @param program the program
	 * @return the ended program
	 */
	CompletableFuture<ProgramView> end(ProgramId program);

	/**
	 * Runs a call. If a call with the same request identifier is running, the request
	 * attaches to it; if one has finished, its recorded result is returned. Neither runs
	 * again.
	 * @param request the call
	 * @param sink receives the response as it is generated, from offset 0
	 * @return the full result, once its record is durable
	 */
	CompletableFuture<CallResult> call(CallRequest request, EventSink sink);

}

package org.hemlockgw.core.program;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;

/**
 * The program owner's interface, used by the entry in the same daemon or over the
 * network. Futures fail with {@link org.hemlockgw.core.common.CallFailure} only;
 * {@code NOT_OWNER} means that the caller should look up the owner again.
 */
public interface ProgramService {

	CompletableFuture<ProgramView> open(OpenProgram command);

	CompletableFuture<ProgramView> get(ProgramId program);

	/**
	 * Ends a program and its children and has their engine memory released. Idempotent.
	 * @param program the program
	 * @return the ended program
	 */
	CompletableFuture<ProgramView> end(ProgramId program);

	/**
	 * Runs a call. A request identifier that is running or finished is attached to or
	 * answered from its record and never run again.
	 * @param request the call
	 * @param sink receives the answer as it is generated, from offset 0
	 * @return the whole answer, after its record is durable
	 */
	CompletableFuture<CallResult> call(CallRequest request, EventSink sink);

}

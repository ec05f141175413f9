package org.hemlockgw.experiment.capacity;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;
import org.hemlockgw.core.program.Usage;

/**
 * Owner that answers a call with as many one-token events as the call asks for.
 */
final class TokenSource implements ProgramService, Dispatcher {

	@Override
	public CompletableFuture<ProgramView> open(OpenProgram command) {
		return get(command.id());
	}

	@Override
	public CompletableFuture<ProgramView> get(ProgramId program) {
		return CompletableFuture.completedFuture(new ProgramView(program, ProgramState.RUNNING, 1, 0, 0, 0, 1));
	}

	@Override
	public CompletableFuture<ProgramView> end(ProgramId program) {
		return get(program);
	}

	@Override
	public CompletableFuture<CallResult> call(CallRequest request, EventSink sink) {
		for (int i = 0; i < request.maxTokens(); i++) {
			sink.accept(new CallEvent(i, 1, "word"));
		}
		return CompletableFuture.completedFuture(new CallResult("", Usage.NONE, "stop", 200, new byte[0], 1));
	}

	@Override
	public CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink) {
		return new CompletableFuture<>();
	}

	@Override
	public void cancel(String engine, String attemptId) {
	}

	@Override
	public void releaseSession(String engine, ProgramId program) {
	}

}

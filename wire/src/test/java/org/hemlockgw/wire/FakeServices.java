package org.hemlockgw.wire;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;

/**
 * Local implementations whose calls the test answers.
 */
final class FakeServices implements ProgramService, Dispatcher {

	final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

	final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();

	@Override
	public CompletableFuture<ProgramView> open(OpenProgram command) {
		return CompletableFuture
			.completedFuture(new ProgramView(command.id(), ProgramState.RUNNING, command.budgetTokens(), 0, 0, 0, 1));
	}

	@Override
	public CompletableFuture<ProgramView> get(ProgramId program) {
		return CompletableFuture.completedFuture(new ProgramView(program, ProgramState.RUNNING, 1, 2, 3, 4, 5));
	}

	@Override
	public CompletableFuture<ProgramView> end(ProgramId program) {
		return CompletableFuture.completedFuture(new ProgramView(program, ProgramState.ENDED, 1, 2, 3, 4, 5));
	}

	@Override
	public CompletableFuture<CallResult> call(CallRequest request, EventSink sink) {
		Call call = new Call(request, sink, new CompletableFuture<>());
		this.calls.add(call);
		return call.result();
	}

	@Override
	public CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink) {
		return new CompletableFuture<>();
	}

	@Override
	public void cancel(String engine, String attemptId) {
		this.cancelled.add(engine + " " + attemptId);
	}

	@Override
	public void releaseSession(String engine, ProgramId program) {
	}

	record Call(CallRequest request, EventSink sink, CompletableFuture<CallResult> result) {
	}

}

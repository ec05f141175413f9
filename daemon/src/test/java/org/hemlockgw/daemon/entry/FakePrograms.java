package org.hemlockgw.daemon.entry;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;

/**
 * Owner whose calls the test answers.
 */
final class FakePrograms implements ProgramService {

	final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

	@Override
	public CompletableFuture<ProgramView> open(OpenProgram command) {
		return CompletableFuture
			.completedFuture(new ProgramView(command.id(), ProgramState.RUNNING, command.budgetTokens(), 0, 0, 0, 1));
	}

	@Override
	public CompletableFuture<ProgramView> get(ProgramId program) {
		return CompletableFuture.completedFuture(new ProgramView(program, ProgramState.RUNNING, 100, 42, 0, 2, 3));
	}

	@Override
	public CompletableFuture<ProgramView> end(ProgramId program) {
		return CompletableFuture.completedFuture(new ProgramView(program, ProgramState.ENDED, 100, 42, 0, 2, 3));
	}

	@Override
	public CompletableFuture<CallResult> call(CallRequest request, EventSink sink) {
		Call call = new Call(request, sink, new CompletableFuture<>());
		this.calls.add(call);
		return call.result();
	}

	record Call(CallRequest request, EventSink sink, CompletableFuture<CallResult> result) {
	}

}

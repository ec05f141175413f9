package org.hemlockgw.daemon.routing;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramView;

/**
 * Owner with a scripted answer to calls.
 */
final class FakeOwner implements ProgramService {

	private final BiFunction<CallRequest, EventSink, CompletableFuture<CallResult>> answer;

	FakeOwner(BiFunction<CallRequest, EventSink, CompletableFuture<CallResult>> answer) {
		this.answer = answer;
	}

	@Override
	public CompletableFuture<ProgramView> open(OpenProgram command) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<ProgramView> get(ProgramId program) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<ProgramView> end(ProgramId program) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<CallResult> call(CallRequest request, EventSink sink) {
		return this.answer.apply(request, sink);
	}

}

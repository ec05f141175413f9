package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.core.platform.PlainServiceClient;
import org.hemlockgw.core.platform.ServiceResponse;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.CallTransitions;
import org.hemlockgw.core.program.RunningCall;
import org.hemlockgw.core.program.Transition;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.core.retry.Backoff;
import org.hemlockgw.core.retry.RetryRules;

/**
 * Runs one call of a plain service.
 */
final class ServiceCall {

	private final OwnerContext context;

	private final RecordWriter writer;

	private final CallQueue queue;

	private final ProgramCell cell;

	private final LiveCall call;

	private int retries;

	ServiceCall(OwnerContext context, RecordWriter writer, CallQueue queue, ProgramCell cell, LiveCall call) {
		this.context = context;
		this.writer = writer;
		this.queue = queue;
		this.cell = cell;
		this.call = call;
	}

	// A non-idempotent call is sent after its intent is durable.
	void start(CompletableFuture<Void> intent) {
		this.context.retries().recordFirstAttempt();
		if (this.call.request().idempotent()) {
			guarded(this::attempt);
			return;
		}
		IntentWait.durable(this.context, intent).whenComplete((done, error) -> guarded(() -> {
			if (error != null) {
				fail(CallFailure.of(error));
				return;
			}
			attempt();
		}));
	}

	private void attempt() {
		CallRequest request = this.call.request();
		PlainServiceClient client = client();
		Duration timeout;
		synchronized (this.cell.slot()) {
			if (this.call.phase() != LiveCall.Phase.ADMITTED) {
				return;
			}
			if (client == null) {
				this.queue.failLocked(this.cell, this.call, CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE,
						"plain service '" + request.target() + "' is unknown or leaving"), false);
				return;
			}
			timeout = Duration.between(this.context.now(), this.call.deadline());
			if (timeout.isZero() || timeout.isNegative()) {
				this.queue.failLocked(this.cell, this.call,
						CallFailure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed"), false);
				return;
			}
			this.call.phase(LiveCall.Phase.SENT);
		}
		send(client, request, timeout);
	}

	private @Nullable PlainServiceClient client() {
		String target = this.call.request().target();
		BackendServer server = this.context.configuration().backendServers().get(target);
		Vm vm = this.context.blackboard().vms().get().get(target);
		if ((server != null && server.leaving()) || (vm != null && vm.state() == VmState.LEAVING)) {
			return null;
		}
		return this.context.services().apply(target);
	}

	private void send(PlainServiceClient client, CallRequest request, Duration timeout) {
		// Idempotency keys are unique within a program only.
		String id = request.program().sessionName() + "/" + request.requestId();
		CompletableFuture<ServiceResponse> sent;
		try {
			sent = client.call(id, request.path(), request.body(), timeout);
		}
		catch (RuntimeException ex) {
			sent = CompletableFuture.failedFuture(ex);
		}
		sent.whenCompleteAsync((response, error) -> guarded(() -> {
			if (error != null) {
				failed(CallFailure.of(error));
				return;
			}
			succeeded(response);
		}), this.context.executor());
	}

	private void succeeded(ServiceResponse response) {
		synchronized (this.cell.slot()) {
			RunningCall admitted = this.cell.state().calls().running();
			if (this.call.phase() != LiveCall.Phase.SENT || admitted == null) {
				return;
			}
			this.call.setFinished();
			Transition finished = CallTransitions.finishService(this.cell.state(), admitted, response,
					this.context.now());
			this.cell.running(null);
			CompletableFuture<Void> append = this.writer.apply(this.cell, finished);
			CallResult result = new CallResult("", Usage.NONE, "", response.status(), response.body(), 0);
			ResultRelease.whenDurable(this.context, this.queue, this.cell, this.call, result, append);
			this.queue.pumpLocked(this.cell);
		}
	}

	private void failed(CallFailure failure) {
		boolean idempotent = this.call.request().idempotent();
		if (!RetryRules.isRetryable(failure, idempotent) || !this.context.now().isBefore(this.call.deadline())
				|| !this.context.retries().tryAcquire()) {
			fail(failure);
			return;
		}
		synchronized (this.cell.slot()) {
			if (this.call.phase() != LiveCall.Phase.SENT) {
				return;
			}
			this.call.phase(LiveCall.Phase.ADMITTED);
			if (failure.verdict() != Verdict.NOT_RUN) {
				this.call.setMayHaveRun();
			}
		}
		this.retries++;
		this.context.count("retries");
		this.context.note(this.call, "retry", failure.code() + " " + failure.verdict() + ": " + failure.getMessage());
		Duration wait = (failure.retryAfter() != null) ? failure.retryAfter()
				: Backoff.DEFAULT.delay(this.retries, ThreadLocalRandom.current().nextDouble());
		this.context.after(wait, () -> guarded(this::attempt));
	}

	// An unexpected fault must not leave the caller waiting and the program blocked.
	private void guarded(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			fail(CallFailure.of(ex));
		}
	}

	private void fail(CallFailure failure) {
		synchronized (this.cell.slot()) {
			this.queue.failLocked(this.cell, this.call, failure, false);
		}
	}

}

package org.hemlockgw.gateway.entry;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.ClientAccount;
import org.hemlockgw.core.quota.PermitDecision;
import org.hemlockgw.core.quota.PermitRequest;
import org.hemlockgw.gateway.quota.PermitClient;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Delays a request of an account with a rate limit until it has a permit. The permit is
 * requested in parallel with the owner of the program and the scheduler.
 */
final class PermitGate {

	/** Fraction of the route's objective for which a request waits for its permit. */
	private static final long WAIT_FRACTION = 2;

	/**
	 * Minimum wait for a permit in milliseconds, in which a lost message is repeated.
	 */
	private static final long MIN_WAIT_MS = 400;

	/** Maximum wait in milliseconds; a holder is replaced within about a second. */
	private static final long MAX_WAIT_MS = 1200;

	/**
	 * Retry-After in milliseconds while no daemon decides; a holder is replaced within
	 * about a second.
	 */
	private static final long RETRY_AFTER_MS = 250;

	private final Services services;

	private final AdmittedRequest request;

	private final Deadline deadline;

	private final RequestFailureListener listener;

	private final boolean capped;

	private PermitClient.@Nullable Permit permit;

	private @Nullable Runnable waiting;

	private boolean granted;

	private boolean closed;

	PermitGate(Services services, AdmittedRequest request, Deadline deadline, RequestFailureListener listener) {
		this.services = services;
		this.request = request;
		this.deadline = deadline;
		this.listener = listener;
		ClientAccount account = request.scope().account();
		this.capped = account != null && account.cap() != null;
		this.granted = !this.capped;
	}

	/**
	 * Requests the permit if the account has a cap.
	 */
	void start() {
		if (!this.capped || this.closed) {
			return;
		}
		this.granted = false;
		CallerRequest headers = this.request.headers();
		String program = headers.program();
		boolean mayBegin = this.request.isTurn() && headers.previousTurn() == null;
		PermitRequest ask = new PermitRequest(this.request.scope().accountName(),
				(program != null) ? programHash(program) : 0, mayBegin);
		long shareMs = this.request.route().objective().toMillis() / WAIT_FRACTION;
		long waitMs = Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, shareMs));
		long beginMs = this.deadline.elapsedMs();
		this.permit = this.services.permits().ask(ask, Math.min(waitMs, this.deadline.remainingMs()), (decision) -> {
			this.services.metrics().record("permit_wait_ms", this.deadline.elapsedMs() - beginMs);
			handle(decision);
		});
	}

	// 0 stands for a request without a program.
	private static int programHash(String program) {
		int hash = program.hashCode();
		return (hash != 0) ? hash : 1;
	}

	private void handle(PermitDecision decision) {
		if (decision.status() == PermitDecision.Status.GRANTED) {
			this.granted = true;
			Runnable next = this.waiting;
			this.waiting = null;
			if (next != null) {
				next.run();
			}
			return;
		}
		if (decision.status() == PermitDecision.Status.NOT_READY) {
			this.services.metrics().increment("permits_unavailable");
			this.listener.refused(503, RETRY_AFTER_MS, "no daemon decides about the rate limit");
			return;
		}
		String label = this.services.permits().metricLabel(this.request.scope().accountName());
		this.services.metrics().increment(Metrics.withLabel("cap_refused", "account", label));
		this.listener.refused(429, decision.retryAfterMs(), (decision.status() == PermitDecision.Status.DENIED)
				? "rate limit is reached" : "rate limit is reached by running programs");
	}

	boolean isGranted() {
		return this.granted;
	}

	/**
	 * Calls a task once the permit is granted, unless the gate is closed before.
	 * @param task the task
	 */
	void whenGranted(Runnable task) {
		this.waiting = task;
	}

	/**
	 * Requests another permit, because the request may have run and is sent again.
	 */
	void renew() {
		if (this.permit != null) {
			this.permit.close(true);
		}
		start();
	}

	/**
	 * Ends the use of the permit.
	 * @param mayHaveRun whether the request may have run
	 */
	void close(boolean mayHaveRun) {
		this.closed = true;
		this.waiting = null;
		if (this.permit != null) {
			this.permit.close(mayHaveRun);
		}
	}

}

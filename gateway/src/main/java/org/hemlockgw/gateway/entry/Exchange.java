package org.hemlockgw.gateway.entry;

import java.util.Locale;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.AccountAccess;
import org.hemlockgw.core.route.Pool;
import org.hemlockgw.core.route.Route;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.net.FailedWrites;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Handles one caller's request from its arrival to its response.
 */
final class Exchange {

	/** Deadline in milliseconds for callers that specify none. */
	private static final long DEFAULT_DEADLINE_MS = 30_000;

	/**
	 * Retry-After in milliseconds while this daemon shuts down; the caller's next
	 * connection reaches another daemon.
	 */
	private static final long SHUTDOWN_RETRY_AFTER_MS = 50;

	private static final byte[] NO_PROMPT = {};

	private final Services services;

	private final CallerConnection caller;

	private final FullHttpRequest request;

	private final CallerRequest callerRequest;

	/** Refusal before the body was received; null if there was none. */
	private final @Nullable Refusal earlyRefusal;

	private final RequestLog log;

	private Deadline deadline;

	private String pool = "";

	private boolean historyStored;

	private @Nullable TurnSession turnSession;

	private @Nullable ServerAttempts serverAttempts;

	private @Nullable PermitGate gate;

	private @Nullable Future<?> timeoutTimer;

	private boolean responseComplete;

	private boolean ended;

	Exchange(Services services, CallerConnection caller, ReceivedRequest received) {
		this.services = services;
		this.caller = caller;
		this.request = received.http();
		this.callerRequest = received.parsed();
		this.earlyRefusal = received.refusal();
		this.deadline = new Deadline(services.nanoClock(),
				(this.callerRequest.deadlineMs() > 0) ? this.callerRequest.deadlineMs() : DEFAULT_DEADLINE_MS);
		this.log = new RequestLog(this.callerRequest, services.metrics(), services.nanoClock(), this.deadline);
	}

	FullHttpRequest request() {
		return this.request;
	}

	void start() {
		HeadDecision decision = HeadDecision.of(this.services, this.callerRequest);
		Refusal refusal = (this.earlyRefusal != null) ? this.earlyRefusal : decision.refusal();
		RoutingTable routes = decision.routes();
		Route route = decision.route();
		if (refusal != null) {
			recordDeniedAccess(decision.access());
			refuse(refusal);
			return;
		}
		if (routes == null || route == null) {
			throw new IllegalStateException("a request without a route must be refused");
		}
		this.pool = route.selectPool(this.callerRequest.id().hashCode());
		this.deadline = this.deadline.withLimit(Math.min(this.deadline.limitMs(), route.timeout().toMillis()));
		this.log.routed(route.name(), routes.version(), this.pool, this.deadline);
		if (this.services.shutdown().isTooLateFor(this.deadline)) {
			endForShutdown();
			return;
		}
		AdmittedRequest admitted = new AdmittedRequest(this.request, this.callerRequest, route, decision.scope(),
				this.pool);
		PeerMessage.OpenTurn openTurn = admitted.toOpenTurn(this.deadline.remainingMs());
		this.historyStored = route.historyStored();
		PermitGate newGate = new PermitGate(this.services, admitted, this.deadline, new FailureEvents());
		this.gate = newGate;
		ServerAttempts servers = new ServerAttempts(this.services, this.caller, admitted, this.deadline, this.log,
				newGate, new AttemptEvents());
		this.serverAttempts = servers;
		this.timeoutTimer = this.services.loop()
			.schedule(() -> handleTimeout(servers), this.deadline.remainingMs(), TimeUnit.MILLISECONDS);
		newGate.start();
		if (openTurn == null) {
			// Only turns begin programs; any other request of a program follows one.
			servers.start(NO_PROMPT, this.callerRequest.program() != null);
			return;
		}
		TurnSession session = new TurnSession(this.services, openTurn, this.deadline, new TurnEvents(servers));
		this.turnSession = session;
		session.open();
	}

	private void recordDeniedAccess(AccountAccess.Outcome outcome) {
		if (outcome != AccountAccess.Outcome.ACCEPTED) {
			this.services.metrics()
				.increment(Metrics.withLabel("access_refused", "reason", outcome.name().toLowerCase(Locale.ROOT)));
		}
	}

	private void forward(ResponseRelay relay) {
		if (mayForward() && !relay.flushStream()) {
			setWritable(false);
		}
	}

	// Tokens must not be sent to the caller before their reservation is durable.
	private boolean mayForward() {
		return this.turnSession == null || this.turnSession.isReserved();
	}

	void setWritable(boolean writable) {
		if (this.serverAttempts != null) {
			this.serverAttempts.setPaused(!writable);
		}
	}

	private void finish(ResponseRelay relay, int status) {
		if (this.ended) {
			return;
		}
		if (!relay.isStream()) {
			this.ended = true;
			cancelTimer();
			settleTurn();
			this.log.answered(status, 0);
			relay.sendBuffered();
			return;
		}
		forward(relay);
		relay.sendHead();
		if (this.turnSession == null || !this.historyStored) {
			settleTurn();
			endStream(relay);
			return;
		}
		this.turnSession.complete(ByteBufUtil.getBytes(this.request.content()), relay.eventData(), sentTokens(),
				() -> endStream(relay));
	}

	private void endStream(ResponseRelay relay) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		cancelTimer();
		this.log.answered(HttpResponseStatus.OK.code(), relay.eventCount());
		relay.discard();
		this.caller.channel()
			.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
			.addListener(FailedWrites.CLOSE)
			.addListener((written) -> this.caller.finishExchange());
	}

	// Number of tokens sent to the caller.
	private int sentTokens() {
		ResponseRelay relay = (this.serverAttempts != null) ? this.serverAttempts.lastResponse() : null;
		if (relay == null || !relay.isHeadSent()) {
			return 0;
		}
		RoutingTable routes = this.services.routes().get();
		Pool currentPool = (routes != null) ? routes.findPool(this.pool) : null;
		return relay.eventCount() * ((currentPool != null) ? Math.max(1, currentPool.tokensPerEvent()) : 1);
	}

	private void settleTurn() {
		if (this.turnSession != null) {
			this.turnSession.settle(sentTokens());
		}
	}

	private void handleTimeout(ServerAttempts servers) {
		if (this.ended) {
			return;
		}
		this.log.timedOut(servers.isHeadSent(), this.responseComplete);
		servers.abortOnTimeout();
		if (servers.isHeadSent()) {
			abort("out of time");
		}
		else {
			refuse((servers.sendCount() > 0) ? 504 : 503, 0, "out of time");
		}
	}

	/**
	 * Ends the request because this daemon shuts down.
	 */
	void endForShutdown() {
		if (this.serverAttempts != null && this.serverAttempts.isHeadSent()) {
			abort("daemon is shutting down");
		}
		else {
			refuse(503, SHUTDOWN_RETRY_AFTER_MS, "daemon is shutting down");
		}
	}

	void callerDisconnected() {
		if (!this.ended) {
			this.log.callerDisconnected();
			cancel();
		}
	}

	private void abort(String cause) {
		if (this.ended) {
			return;
		}
		this.log.aborted(cause);
		cancel();
		this.caller.channel().close();
	}

	private void refuse(Refusal refusal) {
		refuse(refusal.status(), refusal.retryAfterMs(), refusal.reason());
	}

	// Status 503 or 429 guarantees that the request has not run.
	private void refuse(int preferredStatus, long retryAfterMs, String reason) {
		if (this.ended) {
			return;
		}
		boolean mayHaveRun = this.serverAttempts != null && this.serverAttempts.mayHaveRun();
		int status = ((preferredStatus == 503 || preferredStatus == 429) && mayHaveRun) ? 502 : preferredStatus;
		this.log.refused(status, retryAfterMs, reason);
		cancel();
		this.caller.sendError(status, retryAfterMs, reason);
	}

	private void cancel() {
		this.ended = true;
		cancelTimer();
		if (this.gate != null && this.serverAttempts != null) {
			this.gate.close(this.serverAttempts.mayHaveRun());
		}
		if (this.serverAttempts != null) {
			this.serverAttempts.cancel();
		}
		settleTurn();
	}

	private void cancelTimer() {
		if (this.timeoutTimer != null) {
			this.timeoutTimer.cancel(false);
		}
	}

	/**
	 * Handles failures of the request.
	 */
	private class FailureEvents implements RequestFailureListener {

		@Override
		public void refused(int status, long retryAfterMs, String reason) {
			refuse(status, retryAfterMs, reason);
		}

		@Override
		public void aborted(String cause) {
			abort(cause);
		}

	}

	/**
	 * Handles replies of the owner of the program.
	 */
	private final class TurnEvents extends FailureEvents implements TurnSession.Listener {

		private final ServerAttempts servers;

		TurnEvents(ServerAttempts servers) {
			this.servers = servers;
		}

		@Override
		public void opened(byte[] prompt, boolean programStarted) {
			this.servers.start(prompt, programStarted || Exchange.this.callerRequest.previousTurn() != null);
		}

		@Override
		public void reserved() {
			ResponseRelay relay = this.servers.lastResponse();
			BackendResponse parsed = (relay != null) ? relay.backendResponse() : null;
			if (relay == null || parsed == null) {
				return;
			}
			forward(relay);
			if (Exchange.this.responseComplete) {
				finish(relay, parsed.status());
			}
		}

	}

	/**
	 * Handles responses of backend servers.
	 */
	private final class AttemptEvents extends FailureEvents implements ServerAttemptListener {

		@Override
		public void received(ResponseRelay relay) {
			forward(relay);
		}

		@Override
		public void answered(ResponseRelay relay, int status) {
			Exchange.this.responseComplete = true;
			if (Exchange.this.turnSession != null) {
				Exchange.this.log.turnAnswered();
			}
			if (!relay.isStream() || mayForward()) {
				finish(relay, status);
			}
		}

	}

}

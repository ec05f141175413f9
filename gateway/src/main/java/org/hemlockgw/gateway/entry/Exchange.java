package org.hemlockgw.gateway.entry;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.route.Pool;
import org.hemlockgw.core.route.RequestKind;
import org.hemlockgw.core.route.Route;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.peer.PeerMessage;

/**
 * One caller's request from its arrival to its answer.
 */
final class Exchange {

	/** Time in milliseconds assumed for callers that name no deadline. */
	private static final long DEFAULT_DEADLINE_MS = 30_000;

	/**
	 * Retry-After in milliseconds before a configuration is known; a start takes under a
	 * second.
	 */
	private static final long START_RETRY_AFTER_MS = 500;

	private static final byte[] NO_PROMPT = {};

	private final Services services;

	private final CallerConnection caller;

	private final FullHttpRequest request;

	private final CallerRequest call;

	private final RequestLog log;

	private Deadline time;

	private String pool = "";

	private @Nullable TurnSession turn;

	private @Nullable ServerAttempts attempts;

	private @Nullable Future<?> timer;

	private boolean answerComplete;

	private boolean done;

	Exchange(Services services, CallerConnection caller, FullHttpRequest request) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.call = services.wire().decode(request);
		this.time = new Deadline(services.nanoClock(),
				(this.call.deadlineMs() > 0) ? this.call.deadlineMs() : DEFAULT_DEADLINE_MS);
		this.log = new RequestLog(this.call, services.metrics(), services.nanoClock(), this.time);
	}

	FullHttpRequest request() {
		return this.request;
	}

	void start() {
		RoutingTable routes = this.services.routes().get();
		if (routes == null) {
			refuse(503, START_RETRY_AFTER_MS, "no configuration is known yet");
			return;
		}
		Route found = routes.match(this.call.host(), this.call.path());
		if (found == null) {
			refuse(404, 0, "no route");
			return;
		}
		if (this.call.id().isEmpty()) {
			refuse(400, 0, "request identifier is missing");
			return;
		}
		this.pool = found.selectPool(this.call.id().hashCode());
		this.time = this.time.withLimit(Math.min(this.time.limitMs(), found.timeout().toMillis()));
		this.log.routed(found.name(), routes.version(), this.pool, this.time);
		PeerMessage.OpenTurn open = turn(found);
		boolean running = this.call.previousTurn() != null || (this.call.program() != null && open == null);
		ServerAttempts servers = new ServerAttempts(this.services, this.caller, this.request, this.call, found,
				this.pool, running, this.time, this.log, new AttemptEvents());
		this.attempts = servers;
		this.timer = this.services.loop()
			.schedule(() -> timedOut(servers), this.time.remainingMs(), TimeUnit.MILLISECONDS);
		if (this.services.crashing().contains(this.request)) {
			refuse(503, 0, "servers were lost while they ran this request");
			return;
		}
		if (open == null) {
			servers.start(NO_PROMPT);
			return;
		}
		TurnSession session = new TurnSession(this.services, open, this.time, new TurnEvents(servers));
		this.turn = session;
		session.open();
	}

	private PeerMessage.@Nullable OpenTurn turn(Route found) {
		Duration retention = found.retention();
		String program = this.call.program();
		if (found.kind() != RequestKind.STREAMING || retention == null || program == null) {
			return null;
		}
		long budget = (this.call.tokenBudget() < 0) ? Long.MAX_VALUE / 2 : this.call.tokenBudget();
		return new PeerMessage.OpenTurn(this.call.id(), program, this.call.previousTurn(), budget,
				this.call.maxTokens(), retention.toMillis());
	}

	private void passOn(ResponseRelay relay) {
		if (mayPassOn() && !relay.flushStream()) {
			setWritable(false);
		}
	}

	// Tokens may reach the caller only once their reservation is durable.
	private boolean mayPassOn() {
		return this.turn == null || this.turn.isReserved();
	}

	void setWritable(boolean writable) {
		if (this.attempts != null) {
			this.attempts.setPaused(!writable);
		}
	}

	private void finish(ResponseRelay relay, int status) {
		if (this.done) {
			return;
		}
		if (!relay.isStream()) {
			this.done = true;
			cancelTimer();
			abandonTurn();
			this.log.answered(status, 0);
			relay.sendBuffered();
			return;
		}
		passOn(relay);
		relay.sendHead();
		if (this.turn == null) {
			endStream(relay);
			return;
		}
		this.turn.complete(ByteBufUtil.getBytes(this.request.content()), relay.eventData(), tokens(),
				() -> endStream(relay));
	}

	private void endStream(ResponseRelay relay) {
		if (this.done) {
			return;
		}
		this.done = true;
		cancelTimer();
		this.log.answered(HttpResponseStatus.OK.code(), relay.eventCount());
		this.caller.channel()
			.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
			.addListener((written) -> this.caller.finishExchange());
	}

	// Tokens that the caller has got.
	private int tokens() {
		ResponseRelay relay = (this.attempts != null) ? this.attempts.lastResponse() : null;
		if (relay == null || !relay.isHeadSent()) {
			return 0;
		}
		RoutingTable routes = this.services.routes().get();
		Pool served = (routes != null) ? routes.findPool(this.pool) : null;
		return relay.eventCount() * ((served != null) ? Math.max(1, served.tokensPerEvent()) : 1);
	}

	private void abandonTurn() {
		if (this.turn != null) {
			this.turn.cancel(tokens());
		}
	}

	private void timedOut(ServerAttempts servers) {
		if (this.done) {
			return;
		}
		this.log.timedOut(servers.isHeadSent(), this.answerComplete);
		servers.abortOnTimeout();
		if (servers.isHeadSent()) {
			breakOff("out of time");
		}
		else {
			refuse((servers.sendCount() > 0) ? 504 : 503, 0, "out of time");
		}
	}

	void callerDisconnected() {
		if (!this.done) {
			this.log.callerDisconnected();
			end();
		}
	}

	private void breakOff(String cause) {
		if (this.done) {
			return;
		}
		this.log.aborted(cause);
		end();
		this.caller.channel().close();
	}

	// 503 promises that the request has not run.
	private void refuse(int wanted, long retryAfterMs, String reason) {
		if (this.done) {
			return;
		}
		boolean mayHaveRun = this.attempts != null && this.attempts.mayHaveRun();
		int status = (wanted == 503 && mayHaveRun) ? 502 : wanted;
		this.log.refused(status, retryAfterMs, reason);
		end();
		this.caller.sendError(status, retryAfterMs, reason);
	}

	private void end() {
		this.done = true;
		cancelTimer();
		if (this.attempts != null) {
			this.attempts.cancel();
		}
		abandonTurn();
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	/**
	 * Ends of the exchange without an answer.
	 */
	private class Endings implements RequestFailureListener {

		@Override
		public void refused(int status, long retryAfterMs, String reason) {
			refuse(status, retryAfterMs, reason);
		}

		@Override
		public void aborted(String cause) {
			breakOff(cause);
		}

	}

	/**
	 * What the owner of the program says of the turn.
	 */
	private final class TurnEvents extends Endings implements TurnSession.Listener {

		private final ServerAttempts servers;

		TurnEvents(ServerAttempts servers) {
			this.servers = servers;
		}

		@Override
		public void opened(byte[] prompt) {
			this.servers.start(prompt);
		}

		@Override
		public void reserved() {
			ResponseRelay relay = this.servers.lastResponse();
			BackendResponse decoded = (relay != null) ? relay.backendResponse() : null;
			if (relay == null || decoded == null) {
				return;
			}
			passOn(relay);
			if (Exchange.this.answerComplete) {
				finish(relay, decoded.status());
			}
		}

	}

	/**
	 * What servers answer.
	 */
	private final class AttemptEvents extends Endings implements ServerAttempts.Listener {

		@Override
		public void received(ResponseRelay relay) {
			passOn(relay);
		}

		@Override
		public void answered(ResponseRelay relay, int status) {
			Exchange.this.answerComplete = true;
			if (!relay.isStream() || mayPassOn()) {
				finish(relay, status);
			}
		}

	}

}

package org.hemlockgw.gateway.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.SlotAnswer;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.route.Pool;
import org.hemlockgw.core.route.RequestKind;
import org.hemlockgw.core.route.Route;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.net.HttpCall;
import org.hemlockgw.gateway.net.HttpListener;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.slots.Slot;

/**
 * One caller's request from its arrival to its answer. A request that may not be repeated
 * is sent again only after an answer that says it did not run.
 */
final class Exchange {

	/** Time in milliseconds assumed for callers that name no deadline. */
	private static final long DEFAULT_DEADLINE_MS = 30_000;

	/**
	 * Time left in milliseconds below which a request is not sent; no server answers
	 * faster.
	 */
	private static final long MIN_SEND_MS = 15;

	/**
	 * Retry-After in milliseconds before a configuration is known; a start takes under a
	 * second.
	 */
	private static final long START_RETRY_AFTER_MS = 500;

	/**
	 * Retry-After in milliseconds when the servers that were tried can't take the
	 * request; about the time of a short one.
	 */
	private static final long SERVERS_RETRY_AFTER_MS = 200;

	/** Connections that may fail before a request is refused. */
	private static final int MAX_CONNECT_FAILURES = 3;

	private static final byte[] NO_PROMPT = {};

	private final Services services;

	private final CallerConnection caller;

	private final FullHttpRequest request;

	private final CallerRequest call;

	private final RequestLog log;

	private final Set<String> excluded = new HashSet<>();

	private TimeLimit time;

	private @Nullable Route route;

	private String pool = "";

	private @Nullable TurnSession turn;

	private @Nullable Slot slot;

	private @Nullable HttpCall sending;

	private @Nullable AnswerRelay answer;

	private @Nullable Future<?> timer;

	private int sends;

	private int connectFailures;

	private boolean mayHaveRun;

	private boolean answerComplete;

	private boolean done;

	Exchange(Services services, CallerConnection caller, FullHttpRequest request) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.call = services.wire().decode(request);
		this.time = new TimeLimit(services.nanoClock(),
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
		this.route = found;
		this.pool = found.pool(this.call.id().hashCode());
		this.time = this.time.withLimit(Math.min(this.time.limitMs(), found.timeout().toMillis()));
		this.log.routed(found.name(), routes.version(), this.pool, this.time);
		this.timer = this.services.loop().schedule(this::timedOut, this.time.leftMs(), TimeUnit.MILLISECONDS);
		if (this.services.crashing().contains(this.request)) {
			refuse(503, 0, "servers were lost while they ran this request");
			return;
		}
		PeerMessage.OpenTurn open = turn(found);
		if (open == null) {
			acquire();
			return;
		}
		this.turn = new TurnSession(this.services, open, this.time, new TurnEvents());
		this.turn.open();
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

	private Route route() {
		if (this.route == null) {
			throw new IllegalStateException("request " + this.call.id() + " has no route yet");
		}
		return this.route;
	}

	private void acquire() {
		long left = this.time.leftMs();
		if (left < MIN_SEND_MS) {
			refuse(503, 0, "too little time is left");
			return;
		}
		boolean running = this.call.previousTurn() != null || (this.call.program() != null && this.turn == null);
		SlotRequest wanted = new SlotRequest(this.call.id(), this.services.membership().self().text(),
				route().priority(), running, route().objective().toMillis(), left, this.call.prompt(),
				Set.copyOf(this.excluded));
		this.log.waitsForSlot();
		this.slot = this.services.slots().acquire(this.pool, wanted, this::slotAnswered);
	}

	private void slotAnswered(SlotAnswer outcome) {
		this.log.slotAnswered();
		String server = outcome.server();
		if (server == null) {
			this.slot = null;
			refuse(503, outcome.retryAfterMs(), outcome.reason());
			return;
		}
		// A slot that is granted at once is not yet assigned here.
		this.services.loop().execute(() -> useSlot(server, outcome.address()));
	}

	private void useSlot(String server, String address) {
		if (this.done) {
			releaseSlot(0, false);
		}
		else if (this.time.leftMs() < MIN_SEND_MS) {
			refuse(503, 0, "too little time is left");
		}
		else {
			send(server, address);
		}
	}

	private void releaseSlot(int units, boolean failed) {
		Slot taken = this.slot;
		this.slot = null;
		if (taken != null) {
			this.services.slots().release(taken, units, failed);
		}
	}

	private void send(String server, String address) {
		this.sends++;
		this.log.sent(server);
		byte[] prompt = (this.turn != null) ? this.turn.prompt() : NO_PROMPT;
		ByteBuf input = this.request.content();
		ByteBuf body = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(prompt), input.retainedDuplicate());
		HttpRequest head = this.services.wire()
			.toServer(this.request, server, Math.max(1, this.time.leftMs()), body.readableBytes());
		AnswerRelay relay = new AnswerRelay(this.services.wire(), this.caller, route().kind() == RequestKind.STREAMING);
		this.answer = relay;
		this.sending = this.services.servers().send(address, head, body, new HttpListener() {
			@Override
			public boolean head(HttpResponse response) {
				return answerBegins(relay, response);
			}

			@Override
			public void content(ByteBuf part) {
				answerContinues(relay, part);
			}

			@Override
			public void complete() {
				answerEnds(server, relay);
			}

			@Override
			public void failed(boolean sent, String cause) {
				serverFailed(server, sent, cause);
			}
		});
	}

	private boolean answerBegins(AnswerRelay relay, HttpResponse response) {
		BackendAnswer decoded = this.services.wire().decode(response);
		if (decoded.requestId() != null && !decoded.requestId().equals(this.call.id())) {
			this.log.foreignAnswer(decoded.requestId());
			return false;
		}
		relay.begin(response, decoded);
		return true;
	}

	private void answerContinues(AnswerRelay relay, ByteBuf part) {
		if (this.done || relay.decoded() == null) {
			return;
		}
		if (!relay.add(part)) {
			breakOff("answer exceeds " + AnswerRelay.MAX_HELD_BYTES + " bytes");
			return;
		}
		passOn(relay);
	}

	private void passOn(AnswerRelay relay) {
		if (mayPassOn() && !relay.passOn() && this.sending != null) {
			this.sending.pause(true);
		}
	}

	// Tokens may reach the caller only once their reservation is durable.
	private boolean mayPassOn() {
		return this.turn == null || this.turn.isReserved();
	}

	void writable(boolean writable) {
		if (this.sending != null) {
			this.sending.pause(!writable);
		}
	}

	private void answerEnds(String server, AnswerRelay relay) {
		this.sending = null;
		BackendAnswer decoded = relay.decoded();
		if (this.done || decoded == null) {
			return;
		}
		if (decoded.notRun()) {
			rejected(server, decoded.status());
			return;
		}
		if (!relay.isWhole()) {
			serverFailed(server, true, "answer without signature or end");
			return;
		}
		boolean failure = decoded.status() >= 500;
		releaseSlot(decoded.isSuccess() ? Math.max(1, relay.events()) : 0, failure);
		this.mayHaveRun = true;
		if (failure && route().kind().isRepeatable() && mayTryAgain(server)) {
			return;
		}
		this.answerComplete = true;
		if (!relay.isStream() || mayPassOn()) {
			finish(relay, decoded.status());
		}
	}

	private void finish(AnswerRelay relay, int status) {
		if (this.done) {
			return;
		}
		if (!relay.isStream()) {
			this.done = true;
			cancelTimer();
			abandonTurn();
			this.log.answered(status, 0);
			relay.sendWhole();
			return;
		}
		passOn(relay);
		relay.sendHead();
		if (this.turn == null) {
			endStream();
			return;
		}
		this.turn.record(ByteBufUtil.getBytes(this.request.content()), relay.output(), tokens(), this::endStream);
	}

	private void endStream() {
		if (this.done) {
			return;
		}
		this.done = true;
		cancelTimer();
		this.log.answered(HttpResponseStatus.OK.code(), (this.answer != null) ? this.answer.events() : 0);
		this.caller.channel()
			.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
			.addListener((written) -> this.caller.ended());
	}

	private int tokens() {
		RoutingTable routes = this.services.routes().get();
		Pool served = (routes != null) ? routes.pool(this.pool) : null;
		int perEvent = (served != null) ? Math.max(1, served.eventTokens()) : 1;
		return isHeadSent() ? Objects.requireNonNull(this.answer).events() * perEvent : 0;
	}

	private boolean isHeadSent() {
		return this.answer != null && this.answer.isHeadSent();
	}

	private void abandonTurn() {
		if (this.turn != null) {
			this.turn.abandon(tokens());
		}
	}

	private void rejected(String server, int status) {
		this.log.rejected(server, status);
		releaseSlot(0, true);
		if (!mayTryAgain(server)) {
			refuse(503, SERVERS_RETRY_AFTER_MS, "servers are full");
		}
	}

	private boolean mayTryAgain(String server) {
		this.excluded.add(server);
		if (this.sends >= Math.max(1, route().attempts()) || this.time.leftMs() < MIN_SEND_MS) {
			return false;
		}
		dropAnswer();
		acquire();
		return true;
	}

	private void dropAnswer() {
		if (this.answer != null) {
			this.answer.drop();
		}
	}

	private void serverFailed(String server, boolean sent, String cause) {
		this.sending = null;
		if (this.done) {
			return;
		}
		this.log.serverFailed(server, sent, cause);
		releaseSlot(0, true);
		if (!sent) {
			this.sends--;
			this.connectFailures++;
			if (this.connectFailures >= MAX_CONNECT_FAILURES || !mayTryAgain(server)) {
				refuse(503, SERVERS_RETRY_AFTER_MS, "no server can be reached");
			}
			return;
		}
		this.mayHaveRun = true;
		this.services.crashing().add(this.request, server);
		if (isHeadSent()) {
			breakOff(cause);
			return;
		}
		if (!route().kind().isRepeatable() || !mayTryAgain(server)) {
			refuse(502, 0, "server failed");
		}
	}

	private void timedOut() {
		if (this.done) {
			return;
		}
		this.log.timedOut(isHeadSent(), this.answerComplete);
		if (this.sending != null) {
			this.sending.abandon();
		}
		if (isHeadSent()) {
			breakOff("out of time");
		}
		else {
			refuse((this.sends > 0) ? 504 : 503, 0, "out of time");
		}
	}

	void callerLeft() {
		if (!this.done) {
			this.log.callerLeft();
			end();
		}
	}

	private void breakOff(String cause) {
		if (this.done) {
			return;
		}
		this.log.brokenOff(cause);
		end();
		this.caller.channel().close();
	}

	// 503 promises that the request has not run.
	private void refuse(int wanted, long retryAfterMs, String reason) {
		if (this.done) {
			return;
		}
		int status = (wanted == 503 && this.mayHaveRun) ? 502 : wanted;
		this.log.refused(status, retryAfterMs, reason);
		end();
		this.caller.refuse(status, retryAfterMs, reason);
	}

	private void end() {
		this.done = true;
		cancelTimer();
		HttpCall open = this.sending;
		this.sending = null;
		if (open != null) {
			open.abort();
		}
		releaseSlot(0, false);
		dropAnswer();
		abandonTurn();
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	/**
	 * What the owner of the program says of the turn.
	 */
	private final class TurnEvents implements TurnSession.Listener {

		@Override
		public void opened() {
			acquire();
		}

		@Override
		public void reserved() {
			AnswerRelay relay = Exchange.this.answer;
			BackendAnswer decoded = (relay != null) ? relay.decoded() : null;
			if (relay == null || decoded == null) {
				return;
			}
			passOn(relay);
			if (Exchange.this.answerComplete) {
				finish(relay, decoded.status());
			}
		}

		@Override
		public void refused(int status, long retryAfterMs, String reason) {
			refuse(status, retryAfterMs, reason);
		}

		@Override
		public void broken(String cause) {
			breakOff(cause);
		}

	}

}

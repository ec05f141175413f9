package org.hemlockgw.gateway.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.pool.SlotAnswer;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.route.Pool;
import org.hemlockgw.core.route.RequestKind;
import org.hemlockgw.core.route.Route;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.core.turn.TurnRecord;
import org.hemlockgw.gateway.net.HttpCall;
import org.hemlockgw.gateway.net.HttpListener;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.peer.TurnStatus;
import org.hemlockgw.gateway.slots.Slot;

/**
 * One caller's request from its arrival to its answer. A request that may not be repeated
 * is sent again only after an answer that says it did not run.
 */
final class Exchange {

	private static final Logger logger = LoggerFactory.getLogger(Exchange.class);

	/** Time in milliseconds assumed for callers that name no deadline. */
	private static final long DEFAULT_DEADLINE_MS = 30_000;

	/** Time in milliseconds for an owner's first reply; a round trip takes about two. */
	private static final long OWNER_TIMEOUT_MS = 300;

	/**
	 * Time in milliseconds for an owner to store a turn; the store may be away for
	 * seconds.
	 */
	private static final long STORE_TIMEOUT_MS = 5000;

	/**
	 * Pause in milliseconds before another owner is looked for; a take-over takes some
	 * tens.
	 */
	private static final long OWNER_RETRY_MS = 40;

	/**
	 * Time left in milliseconds below which a request is not sent; no server answers
	 * faster.
	 */
	private static final long MIN_SEND_MS = 15;

	/**
	 * Retry-After in milliseconds while shards change hands; a change takes under a
	 * second.
	 */
	private static final long HANDOVER_RETRY_AFTER_MS = 200;

	/**
	 * Retry-After in milliseconds for shards that nobody can take over before the store
	 * is back, which takes seconds; callers wait for a third of their time at most.
	 */
	private static final long STORE_RETRY_AFTER_MS = 1000;

	/** Connections that may fail before a request is refused. */
	private static final int MAX_CONNECT_FAILURES = 3;

	/** Largest plain answer in bytes; it is held until it is complete. */
	private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

	private static final long NANOS_PER_MS = 1_000_000;

	private static final byte[] NO_OUTPUT = {};

	private final Services services;

	private final CallerConnection caller;

	private final FullHttpRequest request;

	private final CallerRequest call;

	private final long startNanos = System.nanoTime();

	private final Set<String> excluded = new HashSet<>();

	private @Nullable Route route;

	private String pool = "";

	private long limitMs;

	private byte[] prompt = NO_OUTPUT;

	private @Nullable Slot slot;

	private @Nullable HttpCall sending;

	private @Nullable Future<?> timer;

	private @Nullable CompositeByteBuf held;

	private @Nullable HttpResponse answerHead;

	private @Nullable BackendAnswer answer;

	private @Nullable EventScanner scanner;

	private int sends;

	private int connectFailures;

	private boolean turnOpen;

	private boolean reserved;

	private boolean mayHaveRun;

	private boolean headSent;

	private boolean answerComplete;

	private boolean done;

	Exchange(Services services, CallerConnection caller, FullHttpRequest request) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.call = services.wire().decode(request);
	}

	FullHttpRequest request() {
		return this.request;
	}

	void start() {
		RoutingTable routes = this.services.routes().get();
		if (routes == null) {
			refuse(503, 500, "no configuration is known yet");
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
		long deadlineMs = (this.call.deadlineMs() > 0) ? this.call.deadlineMs() : DEFAULT_DEADLINE_MS;
		this.limitMs = Math.min(deadlineMs, found.timeout().toMillis());
		this.timer = this.services.loop().schedule(this::timedOut, this.limitMs, TimeUnit.MILLISECONDS);
		if (isCrashing()) {
			refuse(503, 0, "servers were lost while they ran this request");
			return;
		}
		if (isTurn(found)) {
			openTurn();
		}
		else {
			acquire();
		}
	}

	private boolean isTurn(Route found) {
		return found.kind() == RequestKind.STREAMING && found.retention() != null && this.call.program() != null;
	}

	private boolean isCrashing() {
		return !this.services.suspects().isEmpty() && this.request.content().isReadable()
				&& this.services.suspects().isBlocked(digest());
	}

	private String digest() {
		return Suspects.digest(this.request.uri(), ByteBufUtil.getBytes(this.request.content()));
	}

	private long remainingMs() {
		return this.limitMs - (System.nanoTime() - this.startNanos) / NANOS_PER_MS;
	}

	private Route route() {
		if (this.route == null) {
			throw new IllegalStateException("request " + this.call.id() + " has no route yet");
		}
		return this.route;
	}

	private String program() {
		return String.valueOf(this.call.program());
	}

	private long retentionMs() {
		Duration retention = route().retention();
		return (retention != null) ? retention.toMillis() : 0;
	}

	private void openTurn() {
		long budget = (this.call.tokenBudget() < 0) ? Long.MAX_VALUE / 2 : this.call.tokenBudget();
		PeerMessage.OpenTurn open = new PeerMessage.OpenTurn(this.call.id(), program(), this.call.previousTurn(),
				budget, this.call.maxTokens(), retentionMs());
		int shard = this.services.owner().shard(program());
		String address = this.services.membership().holds(shard) ? null : this.services.membership().address(shard);
		ReplyListener replies = new ReplyListener() {
			@Override
			public void reply(PeerMessage message) {
				if (message instanceof PeerMessage.TurnOpened opened) {
					turnOpened(opened);
				}
				else if (message instanceof PeerMessage.ReservationStored stored) {
					reservationStored(stored.stored());
				}
			}

			@Override
			public void failed(String cause) {
				logger.info("request {}: owner of shard {}: {}", Exchange.this.call.id(), shard, cause);
				if (Exchange.this.turnOpen) {
					reservationStored(false);
				}
				else {
					retryOwner(Exchange.this::openTurn, "owner does not answer");
				}
			}
		};
		if (this.services.membership().holds(shard)) {
			this.services.owner().open(open, replies::reply);
		}
		else if (address != null) {
			this.services.peers().request(address, open, OWNER_TIMEOUT_MS, replies);
		}
		else {
			retryOwner(this::openTurn, "owner is not known");
		}
	}

	private void retryOwner(Runnable again, String cause) {
		if (this.done) {
			return;
		}
		this.services.membership().refresh();
		if (!this.turnOpen && this.services.membership().isStoreAway()) {
			refuse(503, STORE_RETRY_AFTER_MS, cause + ", store is away");
			return;
		}
		if (!this.turnOpen && remainingMs() < this.limitMs / 2) {
			refuse(503, HANDOVER_RETRY_AFTER_MS, cause);
			return;
		}
		this.services.loop().schedule(() -> {
			if (!this.done) {
				again.run();
			}
		}, OWNER_RETRY_MS, TimeUnit.MILLISECONDS);
	}

	private void turnOpened(PeerMessage.TurnOpened opened) {
		if (this.done) {
			if (opened.status() == TurnStatus.OK && !this.turnOpen) {
				closeTurn(false, () -> {
				});
			}
			return;
		}
		switch (opened.status()) {
			case OK -> {
				if (!this.turnOpen) {
					this.turnOpen = true;
					this.prompt = opened.prompt();
					acquire();
				}
			}
			case NOT_OWNER -> retryOwner(this::openTurn, "shard changes hands");
			case BUDGET_SPENT -> {
				if (this.turnOpen) {
					breakOff("budget was spent while the owner changed");
				}
				else {
					refuse(402, 0, "token budget is spent");
				}
			}
			case NO_SUCH_TURN -> refuse(404, 0, "no such turn");
			case UNCERTAIN -> refuse(503, HANDOVER_RETRY_AFTER_MS, "not every daemon said whether it has the turn");
		}
	}

	private void reservationStored(boolean stored) {
		if (this.done || this.reserved) {
			return;
		}
		if (!stored) {
			retryOwner(this::openTurn, "reservation was lost");
			return;
		}
		this.reserved = true;
		flushHeld();
		if (this.answerComplete) {
			finish();
		}
	}

	private void closeTurn(boolean whole, Runnable stored) {
		EventScanner events = this.scanner;
		byte[] output = (whole && events != null) ? events.output() : NO_OUTPUT;
		byte[] input = whole ? ByteBufUtil.getBytes(this.request.content()) : NO_OUTPUT;
		TurnRecord record = new TurnRecord(this.call.id(), program(), this.call.previousTurn(), input, output,
				this.services.clock().instant(), Duration.ofMillis(retentionMs()));
		long leftMs = remainingMs() + STORE_TIMEOUT_MS;
		new TurnEnd(this.services, new PeerMessage.CloseTurn(record, whole, tokens()), leftMs, stored).send();
	}

	private int tokens() {
		RoutingTable routes = this.services.routes().get();
		Pool served = (routes != null) ? routes.pool(this.pool) : null;
		int perEvent = (served != null) ? Math.max(1, served.eventTokens()) : 1;
		return (this.scanner != null && this.headSent) ? this.scanner.events() * perEvent : 0;
	}

	private void acquire() {
		long left = remainingMs();
		if (left < MIN_SEND_MS) {
			refuse(503, 0, "too little time is left");
			return;
		}
		boolean running = this.call.previousTurn() != null || (this.call.program() != null && !isTurn(route()));
		SlotRequest wanted = new SlotRequest(this.call.id(), this.services.membership().self().text(),
				route().priority(), running, route().objective().toMillis(), left, this.call.prompt(),
				Set.copyOf(this.excluded));
		this.slot = this.services.slots().acquire(this.pool, wanted, this::slotAnswered);
	}

	private void slotAnswered(SlotAnswer outcome) {
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
		else if (remainingMs() < MIN_SEND_MS) {
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
		ByteBuf input = this.request.content();
		ByteBuf body = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(this.prompt), input.retainedDuplicate());
		HttpRequest head = this.services.wire()
			.toServer(this.request, server, Math.max(1, remainingMs()), body.readableBytes());
		this.answer = null;
		this.answerHead = null;
		this.sending = this.services.servers().send(address, head, body, new HttpListener() {
			@Override
			public boolean head(HttpResponse response) {
				return answerBegins(response);
			}

			@Override
			public void content(ByteBuf part) {
				answerContinues(part);
			}

			@Override
			public void complete() {
				answerEnds(server);
			}

			@Override
			public void failed(boolean sent, String cause) {
				serverFailed(server, sent, cause);
			}
		});
	}

	private boolean answerBegins(HttpResponse response) {
		BackendAnswer decoded = this.services.wire().decode(response);
		if (decoded.requestId() != null && !decoded.requestId().equals(this.call.id())) {
			logger.info("request {}: skipping an answer to {}", this.call.id(), decoded.requestId());
			return false;
		}
		this.answer = decoded;
		this.answerHead = response;
		return true;
	}

	private boolean isStream(BackendAnswer decoded) {
		return route().kind() == RequestKind.STREAMING && decoded.isSuccess() && isGenuine(decoded);
	}

	private static boolean isGenuine(BackendAnswer decoded) {
		return decoded.signed() && !decoded.encoded();
	}

	private void answerContinues(ByteBuf part) {
		BackendAnswer decoded = this.answer;
		if (this.done || decoded == null) {
			return;
		}
		if (isStream(decoded)) {
			if (this.scanner == null) {
				this.scanner = new EventScanner();
			}
			this.scanner.add(part);
		}
		CompositeByteBuf buffer = this.held;
		if (buffer == null) {
			buffer = Unpooled.compositeBuffer(1024);
			this.held = buffer;
		}
		buffer.addComponent(true, Unpooled.copiedBuffer(part));
		if (buffer.readableBytes() > MAX_ANSWER_BYTES) {
			breakOff("answer exceeds " + MAX_ANSWER_BYTES + " bytes");
			return;
		}
		if (isStream(decoded)) {
			flushHeld();
		}
	}

	// Tokens may reach the caller only once their reservation is durable.
	private void flushHeld() {
		CompositeByteBuf buffer = this.held;
		HttpResponse head = this.answerHead;
		if (buffer == null || head == null || this.answer == null || !isStream(this.answer)
				|| (this.turnOpen && !this.reserved)) {
			return;
		}
		this.held = null;
		sendHead(head);
		this.caller.channel().writeAndFlush(new DefaultHttpContent(buffer));
		if (!this.caller.channel().isWritable() && this.sending != null) {
			this.sending.pause(true);
		}
	}

	private void sendHead(HttpResponse head) {
		if (this.headSent) {
			return;
		}
		this.headSent = true;
		HttpResponse response = this.services.wire().toCaller(head);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		this.caller.announceClose(response);
		this.caller.channel().write(response);
	}

	void writable(boolean writable) {
		if (this.sending != null) {
			this.sending.pause(!writable);
		}
	}

	private void answerEnds(String server) {
		this.sending = null;
		BackendAnswer decoded = this.answer;
		if (this.done || decoded == null) {
			return;
		}
		if (decoded.notRun()) {
			rejected(server, decoded.status());
			return;
		}
		boolean stream = isStream(decoded);
		EventScanner events = this.scanner;
		if (decoded.isSuccess() && (!isGenuine(decoded) || (stream && events != null && !events.isAtBoundary()))) {
			serverFailed(server, true, "answer without signature or end");
			return;
		}
		boolean failure = decoded.status() >= 500;
		releaseSlot((failure || !decoded.isSuccess()) ? 0 : Math.max(1, (events != null) ? events.events() : 1),
				failure);
		this.mayHaveRun = true;
		if (failure && route().kind().isRepeatable() && mayTryAgain(server)) {
			return;
		}
		this.answerComplete = true;
		if (!stream || !this.turnOpen || this.reserved) {
			finish();
		}
	}

	private void finish() {
		BackendAnswer decoded = this.answer;
		HttpResponse head = this.answerHead;
		if (decoded == null || head == null || this.done) {
			return;
		}
		if (isStream(decoded)) {
			finishStream(head);
			return;
		}
		this.done = true;
		cancelTimer();
		if (this.turnOpen) {
			closeTurn(false, () -> {
			});
		}
		ByteBuf body = (this.held != null) ? this.held : Unpooled.EMPTY_BUFFER;
		this.held = null;
		HttpResponse headers = this.services.wire().toCaller(head);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, headers.status(), body);
		response.headers().set(headers.headers());
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		this.services.metrics().count("answers_" + decoded.status());
		this.caller.answer(response);
	}

	private void finishStream(HttpResponse head) {
		flushHeld();
		sendHead(head);
		if (!this.turnOpen) {
			endStream();
			return;
		}
		closeTurn(true, this::endStream);
	}

	private void endStream() {
		if (this.done) {
			return;
		}
		this.done = true;
		cancelTimer();
		this.services.metrics().count("streams_complete");
		this.services.metrics().add("stream_ms", (System.nanoTime() - this.startNanos) / NANOS_PER_MS);
		this.caller.channel()
			.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
			.addListener((written) -> this.caller.ended());
	}

	private void rejected(String server, int status) {
		this.services.metrics().count("rejected_" + status);
		releaseSlot(0, true);
		dropHeld();
		if (!mayTryAgain(server)) {
			refuse(503, HANDOVER_RETRY_AFTER_MS, "servers are full");
		}
	}

	private boolean mayTryAgain(String server) {
		this.excluded.add(server);
		if (this.sends >= Math.max(1, route().attempts()) || remainingMs() < MIN_SEND_MS) {
			return false;
		}
		dropHeld();
		acquire();
		return true;
	}

	private void serverFailed(String server, boolean sent, String cause) {
		this.sending = null;
		if (this.done) {
			return;
		}
		logger.info("request {}: server {} failed, sent {}: {}", this.call.id(), server, sent, cause);
		this.services.metrics().count(sent ? "servers_lost" : "connects_failed");
		releaseSlot(0, true);
		if (!sent) {
			this.sends--;
			this.connectFailures++;
			if (this.connectFailures >= MAX_CONNECT_FAILURES || !mayTryAgain(server)) {
				refuse(503, HANDOVER_RETRY_AFTER_MS, "no server can be reached");
			}
			return;
		}
		this.mayHaveRun = true;
		if (this.request.content().isReadable()) {
			reportLoss();
		}
		if (this.headSent) {
			breakOff(cause);
			return;
		}
		dropHeld();
		if (!route().kind().isRepeatable() || !mayTryAgain(server)) {
			refuse(502, 0, "server failed");
		}
	}

	private void reportLoss() {
		String digest = digest();
		this.services.suspects().add(digest);
		PeerMessage.ServerLost lost = new PeerMessage.ServerLost(digest);
		this.services.membership().peers().forEach((peer) -> this.services.peers().tell(peer, lost));
	}

	private void timedOut() {
		if (this.done) {
			return;
		}
		logger.info("request {}: out of time after {} ms, {} sends, head sent {}, answer complete {}", this.call.id(),
				this.limitMs, this.sends, this.headSent, this.answerComplete);
		this.services.metrics().count("timeouts");
		if (this.headSent) {
			breakOff("out of time");
		}
		else {
			refuse((this.sends > 0) ? 504 : 503, 0, "out of time");
		}
	}

	void callerLeft() {
		if (!this.done) {
			this.services.metrics().count("callers_left");
			end();
		}
	}

	private void breakOff(String cause) {
		if (this.done) {
			return;
		}
		logger.info("request {}: breaking off: {}", this.call.id(), cause);
		this.services.metrics().count("broken_off");
		end();
		this.caller.channel().close();
	}

	// 503 promises that the request has not run.
	private void refuse(int wanted, long retryAfterMs, String reason) {
		if (this.done) {
			return;
		}
		int status = (wanted == 503 && this.mayHaveRun) ? 502 : wanted;
		this.services.metrics().count("refused_" + status);
		if (status != 404 && status != 402) {
			logger.info("request {}: {} after {} ms: {}", this.call.id(), status,
					(System.nanoTime() - this.startNanos) / NANOS_PER_MS, reason);
		}
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
		dropHeld();
		if (this.turnOpen) {
			closeTurn(false, () -> {
			});
		}
	}

	private void dropHeld() {
		if (this.held != null) {
			this.held.release();
			this.held = null;
		}
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

}

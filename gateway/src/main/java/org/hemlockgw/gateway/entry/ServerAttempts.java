package org.hemlockgw.gateway.entry;

import java.util.HashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.route.RequestKind;
import org.hemlockgw.core.route.Route;
import org.hemlockgw.gateway.net.HttpCall;
import org.hemlockgw.gateway.net.HttpResponseListener;
import org.hemlockgw.gateway.slots.Slot;

/**
 * Sends a request to one server of a pool after another until one answers. A request that
 * may not be repeated is sent again only after an answer that says it did not run.
 */
final class ServerAttempts {

	/**
	 * Time left in milliseconds below which a request is not sent; no server answers
	 * faster.
	 */
	private static final long MIN_SEND_MS = 15;

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

	private final Route route;

	private final String pool;

	private final boolean running;

	private final Deadline time;

	private final RequestLog log;

	private final Listener listener;

	private final Set<String> excluded = new HashSet<>();

	private byte[] prompt = NO_PROMPT;

	private @Nullable Slot slot;

	private @Nullable HttpCall sending;

	private @Nullable ResponseRelay answer;

	private int sends;

	private int connectFailures;

	private boolean mayHaveRun;

	private boolean ended;

	/**
	 * Creates attempts that have not begun.
	 * @param services what is needed to reach servers
	 * @param caller the caller
	 * @param request the request
	 * @param call what its headers say
	 * @param route its route
	 * @param pool name of the pool
	 * @param running whether the request belongs to a program that runs already
	 * @param time time of the request
	 * @param log log of the request
	 * @param listener learns of answers and failures until {@link #cancel()}
	 */
	ServerAttempts(Services services, CallerConnection caller, FullHttpRequest request, CallerRequest call, Route route,
			String pool, boolean running, Deadline time, RequestLog log, Listener listener) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.call = call;
		this.route = route;
		this.pool = pool;
		this.running = running;
		this.time = time;
		this.log = log;
		this.listener = listener;
	}

	/**
	 * Begins.
	 * @param before what servers get before the request's own body
	 */
	void start(byte[] before) {
		this.prompt = before;
		acquire();
	}

	private void acquire() {
		long left = this.time.remainingMs();
		if (left < MIN_SEND_MS) {
			this.listener.refused(503, 0, "too little time is left");
			return;
		}
		SlotRequest wanted = new SlotRequest(this.call.id(), this.services.membership().self().text(),
				this.route.priority(), this.running, this.route.objective().toMillis(), left, this.call.prompt(),
				Set.copyOf(this.excluded));
		this.log.slotRequested();
		this.slot = this.services.slots().acquire(this.pool, wanted, this::slotAnswered);
	}

	private void slotAnswered(SlotDecision outcome) {
		this.log.slotAnswered();
		String server = outcome.serverId();
		if (server == null) {
			this.slot = null;
			this.listener.refused(503, outcome.retryAfterMs(), outcome.reason());
			return;
		}
		// A slot that is granted at once is not yet assigned here.
		this.services.loop().execute(() -> useSlot(server, outcome.address()));
	}

	private void useSlot(String server, String address) {
		if (this.ended) {
			releaseSlot(0, false);
		}
		else if (this.time.remainingMs() < MIN_SEND_MS) {
			this.listener.refused(503, 0, "too little time is left");
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
		this.log.sent(server, this.sends);
		ByteBuf input = this.request.content();
		ByteBuf body = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(this.prompt), input.retainedDuplicate());
		HttpRequest head = this.services.wire()
			.toServerRequest(this.request, server, Math.max(1, this.time.remainingMs()), body.readableBytes());
		ResponseRelay relay = new ResponseRelay(this.services.wire(), this.caller,
				this.route.kind() == RequestKind.STREAMING);
		this.answer = relay;
		this.sending = this.services.servers().send(address, head, body, new HttpResponseListener() {
			@Override
			public boolean acceptHead(HttpResponse response) {
				return answerBegins(relay, response);
			}

			@Override
			public void contentReceived(ByteBuf part) {
				answerContinues(relay, part);
			}

			@Override
			public void completed() {
				answerEnds(server, relay);
			}

			@Override
			public void failed(boolean sent, String cause) {
				serverFailed(server, sent, cause);
			}
		});
	}

	private boolean answerBegins(ResponseRelay relay, HttpResponse response) {
		BackendResponse decoded = this.services.wire().decode(response);
		if (decoded.requestId() != null && !decoded.requestId().equals(this.call.id())) {
			this.log.mismatchedResponse(decoded.requestId());
			return false;
		}
		relay.setHead(response, decoded);
		return true;
	}

	private void answerContinues(ResponseRelay relay, ByteBuf part) {
		if (this.ended || relay.backendResponse() == null) {
			return;
		}
		if (!relay.appendBody(part)) {
			this.listener.aborted("answer exceeds " + ResponseRelay.MAX_HELD_BYTES + " bytes");
			return;
		}
		this.listener.received(relay);
	}

	private void answerEnds(String server, ResponseRelay relay) {
		this.sending = null;
		BackendResponse decoded = relay.backendResponse();
		if (this.ended || decoded == null) {
			return;
		}
		if (decoded.notRun()) {
			rejected(server, decoded.status());
			return;
		}
		if (!relay.isComplete()) {
			serverFailed(server, true, "answer without signature or end");
			return;
		}
		boolean failure = decoded.status() >= 500;
		releaseSlot(decoded.isSuccess() ? Math.max(1, relay.eventCount()) : 0, failure);
		this.mayHaveRun = true;
		if (failure && this.route.kind().isRepeatable() && mayTryAgain(server)) {
			return;
		}
		this.listener.answered(relay, decoded.status());
	}

	private void rejected(String server, int status) {
		this.log.rejected(server, status);
		releaseSlot(0, true);
		if (!mayTryAgain(server)) {
			this.listener.refused(503, SERVERS_RETRY_AFTER_MS, "servers are full");
		}
	}

	private boolean mayTryAgain(String server) {
		this.excluded.add(server);
		if (this.sends >= Math.max(1, this.route.maxAttempts()) || this.time.remainingMs() < MIN_SEND_MS) {
			return false;
		}
		dropAnswer();
		acquire();
		return true;
	}

	private void dropAnswer() {
		if (this.answer != null) {
			this.answer.discard();
		}
	}

	private void serverFailed(String server, boolean sent, String cause) {
		this.sending = null;
		if (this.ended) {
			return;
		}
		if (!sent) {
			this.sends--;
		}
		this.log.serverFailed(server, sent, this.sends, cause);
		releaseSlot(0, true);
		if (!sent) {
			this.connectFailures++;
			if (this.connectFailures >= MAX_CONNECT_FAILURES || !mayTryAgain(server)) {
				this.listener.refused(503, SERVERS_RETRY_AFTER_MS, "no server can be reached");
			}
			return;
		}
		this.mayHaveRun = true;
		this.services.crashing().recordCrash(this.request, server);
		if (isHeadSent()) {
			this.listener.aborted(cause);
			return;
		}
		if (!this.route.kind().isRepeatable() || !mayTryAgain(server)) {
			this.listener.refused(502, 0, "server failed");
		}
	}

	/**
	 * Stops or continues reading the answer.
	 * @param pause true to stop
	 */
	void setPaused(boolean pause) {
		if (this.sending != null) {
			this.sending.setPaused(pause);
		}
	}

	/**
	 * Returns the answer to the last attempt.
	 * @return the answer, or null before the first attempt
	 */
	@Nullable ResponseRelay lastResponse() {
		return this.answer;
	}

	/**
	 * Tells whether the caller has got a part of the answer.
	 * @return whether headers were sent
	 */
	boolean isHeadSent() {
		return this.answer != null && this.answer.isHeadSent();
	}

	/**
	 * Returns the number of times that a server may have got the request.
	 * @return number of attempts
	 */
	int sendCount() {
		return this.sends;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Closes the connection of an attempt that was not answered in time.
	 */
	void abortOnTimeout() {
		if (this.sending != null) {
			this.sending.abortOnTimeout();
		}
	}

	/**
	 * Ends all work for the request.
	 */
	void cancel() {
		this.ended = true;
		HttpCall open = this.sending;
		this.sending = null;
		if (open != null) {
			open.abort();
		}
		releaseSlot(0, false);
		dropAnswer();
	}

	/**
	 * Learns of answers and failures.
	 */
	interface Listener extends RequestFailureListener {

		/**
		 * A part of an answer has come.
		 * @param relay the answer
		 */
		void received(ResponseRelay relay);

		/**
		 * An answer is whole and is the request's.
		 * @param relay the answer
		 * @param status its status
		 */
		void answered(ResponseRelay relay, int status);

	}

}

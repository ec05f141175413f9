package org.hemlockgw.gateway.entry;

import java.util.HashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.ResponseTiming;
import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.route.RequestKind;
import org.hemlockgw.gateway.net.HttpCall;
import org.hemlockgw.gateway.net.HttpResponseListener;
import org.hemlockgw.gateway.slots.ServerProcess;
import org.hemlockgw.gateway.slots.Slot;

/**
 * Sends a request to the servers of a pool, one after another, until one responds. A
 * request that must not be repeated is sent again only after a response that states that
 * it did not run.
 */
final class ServerAttempts {

	/**
	 * Remaining time in milliseconds below which a request is not sent; no server
	 * responds faster.
	 */
	private static final long MIN_REMAINING_MS = 15;

	/**
	 * Retry-After in milliseconds if the servers that were tried can't take the request;
	 * about the duration of a short request.
	 */
	private static final long SERVERS_RETRY_AFTER_MS = 200;

	/** Number of failed connections after which a request is refused. */
	private static final int MAX_CONNECT_FAILURES = 3;

	private static final byte[] NO_PREFIX = {};

	private final Services services;

	private final CallerConnection caller;

	private final AdmittedRequest request;

	private final Deadline deadline;

	private final RequestLog log;

	private final PermitGate gate;

	private final ServerAttemptListener listener;

	private final Set<String> excludedServers = new HashSet<>();

	private RequestContent content;

	private boolean programStarted;

	private @Nullable Slot slot;

	private @Nullable HttpCall currentCall;

	private @Nullable ResponseRelay response;

	private int sendCount;

	private int connectFailures;

	private boolean mayHaveRun;

	private boolean cancelled;

	/**
	 * Creates the attempts without starting the first one.
	 * @param services used to reach servers
	 * @param caller connection to the caller
	 * @param request the request
	 * @param deadline deadline of the request
	 * @param log log of the request
	 * @param gate delays the request until it has a permit
	 * @param listener receives responses and failures until {@link #cancel()}
	 */
	ServerAttempts(Services services, CallerConnection caller, AdmittedRequest request, Deadline deadline,
			RequestLog log, PermitGate gate, ServerAttemptListener listener) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.deadline = deadline;
		this.log = log;
		this.gate = gate;
		this.listener = listener;
		this.content = request.content(NO_PREFIX);
	}

	/**
	 * Starts the first attempt.
	 * @param prefix data that servers receive before the body of the request
	 * @param programStarted whether the program of the request has opened a turn before
	 */
	void start(byte[] prefix, boolean programStarted) {
		this.content = this.request.content(prefix);
		this.programStarted = programStarted;
		acquire();
	}

	private void acquire() {
		long remainingMs = this.deadline.remainingMs();
		if (remainingMs < MIN_REMAINING_MS) {
			this.listener.refused(503, 0, "too little time is left");
			return;
		}
		if (refuseIfQuarantined()) {
			return;
		}
		SlotRequest slotRequest = this.request.toSlotRequest(this.services.membership().self().text(),
				this.programStarted, this.deadline, this.excludedServers, connectedServers());
		this.log.slotRequested();
		this.slot = this.services.slotClient().acquire(this.request.pool(), slotRequest, this::handleSlotAnswer);
	}

	private boolean refuseIfQuarantined() {
		boolean quarantined = this.services.crashingRequests().isQuarantined(this.content);
		if (quarantined) {
			this.listener.refused(503, 0, "servers were lost while they ran this request");
		}
		return quarantined;
	}

	private Set<String> connectedServers() {
		return this.services.slotClient()
			.findServers(this.request.pool(), (server) -> this.services.serverConnections().hasIdle(server.address()));
	}

	private void handleSlotAnswer(SlotDecision outcome) {
		this.log.slotAnswered();
		String server = outcome.serverId();
		if (server == null) {
			this.slot = null;
			this.listener.refused(503, outcome.retryAfterMs(), outcome.reason());
			return;
		}
		// If the slot is granted immediately, acquire() has not yet assigned this.slot.
		this.services.loop().execute(() -> useGrantedSlot(server, outcome.address()));
	}

	private void useGrantedSlot(String server, String address) {
		if (this.cancelled) {
			releaseSlot(ResponseTiming.NONE, false);
		}
		else if (!this.gate.isGranted()) {
			this.gate.whenGranted(() -> useGrantedSlot(server, address));
		}
		else if (this.deadline.remainingMs() < MIN_REMAINING_MS) {
			this.listener.refused(503, 0, "too little time is left");
		}
		else if (this.services.slotClient().isWithdrawn(server)) {
			// The scheduler's list may be old if the store does not answer its daemon.
			this.log.grantRejected(server);
			releaseSlot(ResponseTiming.NONE, true);
			this.excludedServers.add(server);
			acquire();
		}
		else if (!refuseIfQuarantined()) {
			send(this.services.slotClient().findProcess(server, address));
		}
	}

	private void releaseSlot(ResponseTiming timing, boolean failed) {
		Slot released = this.slot;
		this.slot = null;
		if (released != null) {
			this.services.slotClient().release(released, timing, failed);
		}
	}

	private void send(ServerProcess server) {
		this.sendCount++;
		this.log.sent(server.server(), this.sendCount);
		ByteBuf body = this.content.retainedBody();
		HttpRequest requestHead = this.request.toServerRequest(this.services.wireFormat(), server.server(),
				this.deadline, body);
		ResponseRelay relay = new ResponseRelay(this.services.wireFormat(), this.caller,
				this.request.route().kind() == RequestKind.STREAMING, this.services.responseMemory(),
				this.services.nanoClock());
		this.response = relay;
		this.currentCall = this.services.serverConnections()
			.send(server.address(), requestHead, body, new HttpResponseListener() {
				@Override
				public boolean acceptHead(HttpResponse head, boolean reused) {
					return acceptResponse(server, relay, head, reused);
				}

				@Override
				public void contentReceived(ByteBuf part) {
					handleContent(server, relay, part);
				}

				@Override
				public void partsReceived() {
					ServerAttempts.this.listener.received(relay);
				}

				@Override
				public void completed() {
					handleCompletion(server, relay);
				}

				@Override
				public void failed(boolean sent, String cause) {
					handleFailure(server, sent, sent, cause);
				}
			});
	}

	private boolean acceptResponse(ServerProcess server, ResponseRelay relay, HttpResponse head, boolean reused) {
		BackendResponse parsed = this.services.wireFormat().decode(head);
		if (parsed.requestId() != null && !parsed.requestId().equals(this.request.id())) {
			this.log.mismatchedResponse(parsed.requestId());
			return false;
		}
		if (!parsed.isAttributable(reused)) {
			failResponse(server, "response names no request");
			return false;
		}
		if (parsed.leaving()) {
			this.services.slotClient().recordLeaving(server);
		}
		relay.setHead(head, parsed);
		return true;
	}

	private void handleContent(ServerProcess server, ResponseRelay relay, ByteBuf part) {
		if (this.cancelled || relay.backendResponse() == null) {
			return;
		}
		if (!relay.appendBody(part)) {
			failResponse(server, "response is larger than the memory for responses");
		}
	}

	private void failResponse(ServerProcess server, String cause) {
		HttpCall call = this.currentCall;
		if (call != null) {
			call.abort();
		}
		handleFailure(server, true, false, cause);
	}

	private void handleCompletion(ServerProcess server, ResponseRelay relay) {
		this.currentCall = null;
		BackendResponse parsed = relay.backendResponse();
		if (this.cancelled || parsed == null) {
			return;
		}
		if (parsed.notRun()) {
			handleRejection(server, parsed.status());
			return;
		}
		if (!relay.isValid()) {
			handleFailure(server, true, parsed.isSuccess(), "response is unsigned, incomplete or unfounded");
			return;
		}
		this.services.crashingRequests().recordProcessed(this.content);
		boolean serverError = parsed.status() >= 500;
		releaseSlot(parsed.isSuccess() ? relay.timing() : ResponseTiming.NONE, serverError);
		this.mayHaveRun = true;
		if (serverError && this.request.route().kind().isRepeatable() && tryAnotherServer(server)) {
			return;
		}
		this.listener.answered(relay, parsed.status());
	}

	private void handleRejection(ServerProcess server, int status) {
		this.log.rejected(server.server(), status);
		releaseSlot(ResponseTiming.NONE, true);
		if (!tryAnotherServer(server)) {
			this.listener.refused(503, SERVERS_RETRY_AFTER_MS, "servers are full");
		}
	}

	private boolean tryAnotherServer(ServerProcess server) {
		this.excludedServers.add(server.server());
		if (this.sendCount >= Math.max(1, this.request.route().maxAttempts())
				|| this.deadline.remainingMs() < MIN_REMAINING_MS) {
			return false;
		}
		discardResponse();
		if (this.mayHaveRun) {
			this.gate.renew();
		}
		acquire();
		return true;
	}

	private void discardResponse() {
		if (this.response != null) {
			this.response.discard();
		}
	}

	private void handleFailure(ServerProcess server, boolean sent, boolean lost, String cause) {
		this.currentCall = null;
		if (this.cancelled) {
			return;
		}
		if (!sent) {
			this.sendCount--;
		}
		this.log.serverFailed(server.server(), sent, this.sendCount, cause);
		releaseSlot(ResponseTiming.NONE, true);
		if (!sent) {
			this.connectFailures++;
			if (this.connectFailures >= MAX_CONNECT_FAILURES || !tryAnotherServer(server)) {
				this.listener.refused(503, SERVERS_RETRY_AFTER_MS, "no server can be reached");
			}
			return;
		}
		this.mayHaveRun = true;
		if (lost) {
			this.services.crashingRequests().recordLostResponse(this.content, server);
		}
		if (isHeadSent()) {
			this.listener.aborted(cause);
			return;
		}
		if (!this.request.route().kind().isRepeatable() || !tryAnotherServer(server)) {
			this.listener.refused(502, 0, "server failed");
		}
	}

	/**
	 * Pauses or resumes reading the response.
	 * @param paused whether to pause
	 */
	void setPaused(boolean paused) {
		if (this.currentCall != null && this.response != null) {
			this.response.excludeGaps();
			this.currentCall.setPaused(paused);
		}
	}

	/**
	 * Returns the response to the last attempt.
	 * @return the response, or null before the first attempt
	 */
	@Nullable ResponseRelay lastResponse() {
		return this.response;
	}

	/**
	 * Returns whether the caller has received a part of the response.
	 * @return whether the headers were sent
	 */
	boolean isHeadSent() {
		return this.response != null && this.response.isHeadSent();
	}

	/**
	 * Returns the number of attempts in which a server may have received the request.
	 * @return number of attempts
	 */
	int sendCount() {
		return this.sendCount;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun || this.currentCall != null;
	}

	/**
	 * Aborts the current attempt because the request timed out.
	 */
	void abortOnTimeout() {
		if (this.currentCall != null) {
			this.currentCall.abortOnTimeout();
		}
	}

	/**
	 * Cancels all work for the request.
	 */
	void cancel() {
		this.cancelled = true;
		HttpCall unfinished = this.currentCall;
		this.currentCall = null;
		if (unfinished != null) {
			unfinished.abort();
		}
		releaseSlot(ResponseTiming.NONE, false);
		discardResponse();
	}

}

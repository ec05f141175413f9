package org.hemlockgw.wire;

import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.generated.peer.CancelDispatch;
import org.hemlockgw.generated.peer.ReleaseSession;
import org.hemlockgw.generated.peer.Request;
import org.hemlockgw.generated.peer.Response;

/**
 * The dispatcher of another daemon. Its futures fail with {@code OWNER_UNAVAILABLE} when
 * that daemon is unreachable, and with {@code BACKEND_UNAVAILABLE} when the daemon says
 * that the engine is.
 */
public final class RemoteDispatcher implements Dispatcher {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final PeerClient client;

	private final String address;

	/**
	 * Creates a stub.
	 * @param client carries the requests
	 * @param address the IP number and port of the daemon's peer listener
	 */
	public RemoteDispatcher(PeerClient client, String address) {
		this.client = client;
		this.address = address;
	}

	@Override
	public CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink) {
		Request message = Request.newBuilder().setDispatch(PeerMessages.dispatch(request)).build();
		return this.client.send(this.address, message, ErrorCode.OWNER_UNAVAILABLE, sink)
			.thenApply((response) -> PeerMessages.result(response.getDispatch()));
	}

	@Override
	public void cancel(String engine, String attemptId) {
		CancelDispatch message = CancelDispatch.newBuilder().setEngine(engine).setAttemptId(attemptId).build();
		send(Request.newBuilder().setCancel(message).build())
			.whenComplete((response, thrown) -> logFailure("cancel", engine, thrown));
	}

	@Override
	public void releaseSession(String engine, ProgramId program) {
		acknowledgedRelease(engine, program).whenComplete((response, thrown) -> logFailure("release", engine, thrown));
	}

	/**
	 * Releases a cache session and tells when the dispatcher has taken the order over.
	 * @param engine name of the backend server
	 * @param program the ended program
	 * @return fails with {@code OWNER_UNAVAILABLE} when the dispatcher did not answer
	 */
	public CompletableFuture<Void> acknowledgedRelease(String engine, ProgramId program) {
		ReleaseSession message = ReleaseSession.newBuilder()
			.setEngine(engine)
			.setProgram(PeerMessages.name(program))
			.build();
		return send(Request.newBuilder().setRelease(message).build()).thenAccept((response) -> {
		});
	}

	private CompletableFuture<Response> send(Request request) {
		return this.client.send(this.address, request, ErrorCode.OWNER_UNAVAILABLE, (event) -> {
		});
	}

	private void logFailure(String order, String engine, Throwable thrown) {
		if (thrown != null) {
			logger.atInfo().log("%s for %s at %s was not delivered: %s", order, engine, this.address, thrown);
		}
	}

}

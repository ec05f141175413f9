package org.hemlockgw.wire;

import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.generated.peer.ConfigurationDocument;
import org.hemlockgw.generated.peer.Done;
import org.hemlockgw.generated.peer.ProbeAnswer;
import org.hemlockgw.generated.peer.Request;
import org.hemlockgw.generated.peer.Response;
import org.hemlockgw.generated.peer.Sender;

/**
 * Calls the local implementation of a peer's request.
 */
final class RequestHandler {

	private static final Response DONE = Response.newBuilder().setDone(Done.getDefaultInstance()).build();

	private final LocalPeer self;

	private final LocalServices services;

	RequestHandler(LocalPeer self, LocalServices services) {
		this.self = self;
		this.services = services;
	}

	CompletableFuture<Response> handle(Request request, EventSink sink) {
		try {
			return route(request, sink);
		}
		catch (IllegalArgumentException ex) {
			return CompletableFuture
				.failedFuture(CallFailure.notRun(ErrorCode.BAD_REQUEST, "peer request: " + ex.getMessage()));
		}
	}

	/**
	 * Stops work whose result nobody can receive any more. Only dispatched attempts are
	 * stopped: the program owner keeps its calls because callers come back for them.
	 * @param request the request
	 */
	void abandon(Request request) {
		if (request.hasDispatch()) {
			this.services.dispatcher().cancel(request.getDispatch().getEngine(), request.getDispatch().getAttemptId());
		}
	}

	private CompletableFuture<Response> route(Request request, EventSink sink) {
		return switch (request.getKindCase()) {
			case OPEN -> this.services.programs().open(PeerMessages.open(request.getOpen())).thenApply(Responses::of);
			case GET -> this.services.programs().get(PeerMessages.id(request.getGet())).thenApply(Responses::of);
			case END -> this.services.programs().end(PeerMessages.id(request.getEnd())).thenApply(Responses::of);
			case CALL ->
				this.services.programs().call(PeerMessages.call(request.getCall()), sink).thenApply(Responses::of);
			case DISPATCH -> this.services.dispatcher()
				.dispatch(PeerMessages.dispatch(request.getDispatch()), sink)
				.thenApply(Responses::of);
			case CANCEL -> {
				this.services.dispatcher().cancel(request.getCancel().getEngine(), request.getCancel().getAttemptId());
				yield CompletableFuture.completedFuture(DONE);
			}
			case RELEASE -> {
				this.services.dispatcher()
					.releaseSession(request.getRelease().getEngine(),
							PeerMessages.id(request.getRelease().getProgram()));
				yield CompletableFuture.completedFuture(DONE);
			}
			case PROBE -> CompletableFuture.completedFuture(probe());
			case FETCH_CONFIGURATION -> CompletableFuture.completedFuture(configuration());
			case KIND_NOT_SET -> CompletableFuture
				.failedFuture(CallFailure.notRun(ErrorCode.BAD_REQUEST, "peer request of a kind unknown here"));
		};
	}

	private Response probe() {
		Incarnation incarnation = this.self.incarnation().get();
		ProbeAnswer answer = ProbeAnswer.newBuilder()
			.setSender(Sender.newBuilder().setVm(incarnation.vm()).setIncarnation(incarnation.id()))
			.setConfigurationVersion(this.self.configurationVersion().getAsLong())
			.build();
		return Response.newBuilder().setProbe(answer).build();
	}

	private Response configuration() {
		ByteString document = ByteString.copyFrom(this.services.configuration().get());
		return Response.newBuilder().setConfiguration(ConfigurationDocument.newBuilder().setDocument(document)).build();
	}

}

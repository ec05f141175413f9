package org.hemlockgw.wire;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramView;
import org.hemlockgw.generated.peer.Request;

/**
 * The program owner of another daemon.
 */
public final class RemoteProgramService implements ProgramService {

	private final PeerClient client;

	private final String address;

	/**
	 * Creates a stub.
	 * @param client carries the requests
	 * @param address the IP number and port of the daemon's peer listener
	 */
	public RemoteProgramService(PeerClient client, String address) {
		this.client = client;
		this.address = address;
	}

	@Override
	public CompletableFuture<ProgramView> open(OpenProgram command) {
		return view(Request.newBuilder().setOpen(PeerMessages.open(command)).build());
	}

	@Override
	public CompletableFuture<ProgramView> get(ProgramId program) {
		return view(Request.newBuilder().setGet(PeerMessages.name(program)).build());
	}

	@Override
	public CompletableFuture<ProgramView> end(ProgramId program) {
		return view(Request.newBuilder().setEnd(PeerMessages.name(program)).build());
	}

	@Override
	public CompletableFuture<CallResult> call(CallRequest request, EventSink sink) {
		Request message = Request.newBuilder().setCall(PeerMessages.call(request)).build();
		return this.client.send(this.address, message, ErrorCode.OWNER_UNAVAILABLE, sink)
			.thenApply((response) -> PeerMessages.result(response.getCall()));
	}

	private CompletableFuture<ProgramView> view(Request request) {
		return this.client.send(this.address, request, ErrorCode.OWNER_UNAVAILABLE, (event) -> {
		}).thenApply((response) -> PeerMessages.view(response.getProgram()));
	}

}

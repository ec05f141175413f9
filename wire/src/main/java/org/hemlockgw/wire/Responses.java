package org.hemlockgw.wire;

import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.ProgramView;
import org.hemlockgw.generated.peer.Response;

/**
 * Builds responses from results.
 */
final class Responses {

	private Responses() {
	}

	static Response of(ProgramView view) {
		return Response.newBuilder().setProgram(PeerMessages.view(view)).build();
	}

	static Response of(CallResult result) {
		return Response.newBuilder().setCall(PeerMessages.result(result)).build();
	}

	static Response of(DispatchResult result) {
		return Response.newBuilder().setDispatch(PeerMessages.result(result)).build();
	}

}

package org.hemlockgw.wire;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.membership.PeerProbe;
import org.hemlockgw.core.membership.PeerStatus;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.generated.peer.Probe;
import org.hemlockgw.generated.peer.ProbeAnswer;
import org.hemlockgw.generated.peer.Request;

/**
 * Sends heartbeats over the connections of requests.
 */
public final class RemotePeerProbe implements PeerProbe {

	private static final Request PROBE = Request.newBuilder().setProbe(Probe.getDefaultInstance()).build();

	private final PeerClient client;

	private final Duration timeout;

	/**
	 * Creates a probe.
	 * @param client carries the heartbeats
	 * @param timeout longest time to wait for an answer
	 */
	public RemotePeerProbe(PeerClient client, Duration timeout) {
		this.client = client;
		this.timeout = timeout;
	}

	@Override
	public CompletableFuture<PeerStatus> probe(Vm vm) {
		return this.client.send(vm.address(), PROBE, ErrorCode.OWNER_UNAVAILABLE, (event) -> {
		}).orTimeout(this.timeout.toMillis(), TimeUnit.MILLISECONDS).handle((response, thrown) -> {
			if (thrown != null) {
				throw failure(vm, thrown);
			}
			return status(response.getProbe());
		});
	}

	private static CallFailure failure(Vm vm, Throwable thrown) {
		if (thrown instanceof TimeoutException) {
			return CallFailure.mayHaveRun(ErrorCode.OWNER_UNAVAILABLE, "no heartbeat from " + vm.name());
		}
		return CallFailure.of(thrown);
	}

	private static PeerStatus status(ProbeAnswer answer) {
		Incarnation incarnation = new Incarnation(answer.getSender().getVm(), answer.getSender().getIncarnation());
		return new PeerStatus(incarnation, answer.getConfigurationVersion());
	}

}

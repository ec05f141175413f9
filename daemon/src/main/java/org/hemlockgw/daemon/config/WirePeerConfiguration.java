package org.hemlockgw.daemon.config;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigSnapshot;
import org.hemlockgw.core.config.MalformedRecordException;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.wire.PeerClient;

/**
 * Asks the peer listener of a random daemon of the VM list.
 */
public final class WirePeerConfiguration implements PeerConfiguration {

	private final String ownVm;

	private final Supplier<Map<String, Vm>> vms;

	private final PeerClient client;

	public WirePeerConfiguration(String ownVm, Supplier<Map<String, Vm>> vms, PeerClient client) {
		this.ownVm = ownVm;
		this.vms = vms;
		this.client = client;
	}

	@Override
	public CompletableFuture<ConfigSnapshot> fetch() {
		List<Vm> peers = this.vms.get()
			.values()
			.stream()
			.filter((vm) -> vm.kind() == VmKind.ENTRY && !vm.name().equals(this.ownVm))
			.toList();
		if (peers.isEmpty()) {
			return CompletableFuture
				.failedFuture(CallFailure.notRun(ErrorCode.NOT_FOUND, "the VM list names no other daemon"));
		}
		Vm peer = peers.get(ThreadLocalRandom.current().nextInt(peers.size()));
		return this.client.fetchConfiguration(peer.address()).thenApply((document) -> decode(peer, document));
	}

	private static ConfigSnapshot decode(Vm peer, byte[] document) {
		try {
			if (document.length > 0 && ConfigCodec.decode(document) instanceof ConfigSnapshot snapshot) {
				return snapshot;
			}
			throw CallFailure.notRun(ErrorCode.NOT_FOUND, peer.name() + " has no configuration yet");
		}
		catch (MalformedRecordException ex) {
			throw new CompletionException(ex);
		}
	}

}

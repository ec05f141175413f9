package org.hemlockgw.daemon.config;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
import org.hemlockgw.remote.admin.AdminClient;

/**
 * Asks the admin listener of a random daemon of the VM list.
 */
public final class HttpPeerConfiguration implements PeerConfiguration {

	private final String ownVm;

	private final Supplier<Map<String, Vm>> vms;

	private final AdminClient client;

	public HttpPeerConfiguration(String ownVm, Supplier<Map<String, Vm>> vms, AdminClient client) {
		this.ownVm = ownVm;
		this.vms = vms;
		this.client = client;
	}

	@Override
	public CompletableFuture<ConfigSnapshot> fetch() {
		List<Vm> peers = this.vms.get().values().stream().filter(this::isPeer).toList();
		if (peers.isEmpty()) {
			return CompletableFuture
				.failedFuture(CallFailure.notRun(ErrorCode.NOT_FOUND, "The VM list names no other daemon"));
		}
		Vm peer = peers.get(ThreadLocalRandom.current().nextInt(peers.size()));
		String address = Objects.requireNonNull(peer.adminAddress());
		return this.client.send("GET", address, "/config").thenApply((response) -> decode(peer, response));
	}

	private boolean isPeer(Vm vm) {
		return vm.kind() == VmKind.ENTRY && vm.adminAddress() != null && !vm.name().equals(this.ownVm);
	}

	private static ConfigSnapshot decode(Vm peer, AdminClient.Response response) {
		if (response.status() != 200) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND,
					peer.name() + " answered status " + response.status() + " to GET /config");
		}
		try {
			byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
			if (ConfigCodec.decode(body) instanceof ConfigSnapshot snapshot) {
				return snapshot;
			}
			throw CallFailure.notRun(ErrorCode.INTERNAL, peer.name() + " sent no snapshot");
		}
		catch (MalformedRecordException ex) {
			throw new CompletionException(ex);
		}
	}

}

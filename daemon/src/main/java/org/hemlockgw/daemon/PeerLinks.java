package org.hemlockgw.daemon;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.wire.LocalPeer;
import org.hemlockgw.wire.PeerClient;
import org.hemlockgw.wire.PeerTimings;
import org.hemlockgw.wire.RemoteDispatcher;
import org.hemlockgw.wire.RemoteProgramService;

/**
 * Stubs of other daemons, and what their frames tell.
 */
final class PeerLinks implements AutoCloseable {

	private final List<LongConsumer> versionListeners = new CopyOnWriteArrayList<>();

	private final LocalPeer self;

	private final PeerClient client;

	PeerLinks(DaemonThreads threads, Supplier<Incarnation> incarnation, LongSupplier configurationVersion) {
		this.self = new LocalPeer(incarnation, configurationVersion, (sender, version) -> versionSeen(version));
		this.client = new PeerClient(threads.eventLoops(), threads.worker(), this.self, PeerTimings.DEFAULT);
	}

	private void versionSeen(long version) {
		this.versionListeners.forEach((listener) -> listener.accept(version));
	}

	void onVersion(LongConsumer listener) {
		this.versionListeners.add(listener);
	}

	LocalPeer self() {
		return this.self;
	}

	PeerClient client() {
		return this.client;
	}

	ProgramService owner(String address) {
		return new RemoteProgramService(this.client, address);
	}

	Dispatcher dispatcher(String address) {
		return new RemoteDispatcher(this.client, address);
	}

	CompletableFuture<Void> release(String address, String engine, ProgramId program) {
		return new RemoteDispatcher(this.client, address).acknowledgedRelease(engine, program);
	}

	@Override
	public void close() {
		this.client.close();
	}

}

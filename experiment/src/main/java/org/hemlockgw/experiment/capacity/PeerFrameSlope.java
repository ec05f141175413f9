package org.hemlockgw.experiment.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.wire.LocalPeer;
import org.hemlockgw.wire.LocalServices;
import org.hemlockgw.wire.PeerClient;
import org.hemlockgw.wire.PeerServer;
import org.hemlockgw.wire.PeerTimings;
import org.hemlockgw.wire.RemotePeerProbe;
import org.hemlockgw.wire.RemoteProgramService;

/**
 * Bytes, round-trip time and processor time of frames between two daemons over loopback.
 * The processor time is that of both sides.
 */
final class PeerFrameSlope implements Slope {

	private static final int[] HEARTBEATS = { 500, 1000, 2000 };

	private static final int[] TOKENS = { 2000, 8000, 32_000 };

	// The receiver gives up at 4,096 events that it has not read.
	private static final int TOKENS_PER_CALL = 500;

	private static final long TIMEOUT_S = 30;

	@Override
	public String name() {
		return "frame";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
		ExecutorService executor = Executors.newFixedThreadPool(2);
		LocalPeer self = new LocalPeer(() -> Samples.incarnation(1), () -> 7900, (sender, version) -> {
		});
		TokenSource source = new TokenSource();
		LocalServices services = new LocalServices(source, source, () -> new byte[0]);
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		PeerServer server = PeerServer.start(any, group, executor, self, services, PeerTimings.DEFAULT);
		PeerClient client = new PeerClient(group, executor, self, PeerTimings.DEFAULT);
		try {
			return measure(measure, server, client);
		}
		finally {
			client.close();
			server.close();
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
			executor.shutdownNow();
		}
	}

	private static List<Series> measure(Measure measure, PeerServer server, PeerClient client) throws Exception {
		String direct = "127.0.0.1:" + server.address().getPort();
		List<Series> all = new ArrayList<>();
		all.addAll(series(measure, server, "heartbeat", HEARTBEATS, (address, n) -> heartbeats(client, address, n),
				direct));
		all.addAll(series(measure, server, "token", TOKENS, (address, n) -> tokens(client, address, n), direct));
		return all;
	}

	private static List<Series> series(Measure measure, PeerServer server, String frame, int[] sizes, Traffic traffic,
			String direct) throws Exception {
		traffic.run(direct, sizes[sizes.length - 1]);
		Series cpu = Series.measure("frame." + frame + ".cpu", "us", frame + "s", sizes, (n) -> measure.median(() -> {
			long start = Measure.processCpuNs();
			traffic.run(direct, n);
			return (Measure.processCpuNs() - start) / 1000.0;
		}));
		Series time = Series.measure("frame." + frame + ".time", "us", frame + "s", sizes, (n) -> measure.median(() -> {
			long start = System.nanoTime();
			traffic.run(direct, n);
			return (System.nanoTime() - start) / 1000.0;
		}));
		Series bytes = Series.measure("frame." + frame + ".bytes", "bytes", frame + "s", sizes,
				(n) -> bytes(server, traffic, n));
		return List.of(cpu, time, bytes);
	}

	private static double bytes(PeerServer server, Traffic traffic, int n) throws IOException {
		try (ByteCounter counter = new ByteCounter(server.address())) {
			traffic.run(counter.address(), n);
			return counter.bytes();
		}
	}

	private static void heartbeats(PeerClient client, String address, int count) {
		RemotePeerProbe probe = new RemotePeerProbe(client, Duration.ofSeconds(TIMEOUT_S));
		Vm vm = new Vm(Samples.daemon(1), address, null, "dc-1", 1, VmKind.ENTRY, VmState.LIVE);
		for (int i = 0; i < count; i++) {
			probe.probe(vm).orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
		}
	}

	private static void tokens(PeerClient client, String address, int count) {
		RemoteProgramService owner = new RemoteProgramService(client, address);
		for (int i = 0; i < count; i += TOKENS_PER_CALL) {
			CallRequest request = new CallRequest(Samples.program(1), "r" + i, 1, CallKind.MODEL, "model-1", true, true,
					List.of(new Message("user", "hello")), TOKENS_PER_CALL, "", new byte[0], Samples.NOW, "");
			int[] received = { 0 };
			owner.call(request, (event) -> received[0]++).orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
			if (received[0] != TOKENS_PER_CALL) {
				throw new IllegalStateException("received " + received[0] + " of " + TOKENS_PER_CALL + " events");
			}
		}
	}

	@FunctionalInterface
	private interface Traffic {

		void run(String address, int count);

	}

}

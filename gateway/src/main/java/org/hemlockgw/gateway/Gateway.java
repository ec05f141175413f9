package org.hemlockgw.gateway;

import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.route.CallerLimits;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.entry.CallerConnection;
import org.hemlockgw.gateway.entry.CrashingRequests;
import org.hemlockgw.gateway.entry.Services;
import org.hemlockgw.gateway.entry.WireFormat;
import org.hemlockgw.gateway.net.HttpConnections;
import org.hemlockgw.gateway.owner.CopyService;
import org.hemlockgw.gateway.owner.HedgedStore;
import org.hemlockgw.gateway.owner.MemberName;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.owner.ProgramOwner;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerListener;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.PeerService;
import org.hemlockgw.gateway.slots.SlotClient;
import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.MeasuredStore;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * One daemon: entry, program owner and pool scheduler on one event loop.
 */
public final class Gateway implements PeerService {

	private static final Logger logger = LoggerFactory.getLogger(Gateway.class);

	/**
	 * Time in milliseconds for a connection to a server; data centres are about a
	 * millisecond apart.
	 */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/** Longest request line in bytes; the platform bounds all headers together. */
	private static final int MAX_LINE_BYTES = 8192;

	/** Size in bytes at which the decoder hands on parts of a body. */
	private static final int CHUNK_BYTES = 8192;

	/**
	 * Part of the grace time in which open requests may end; the rest is for the exit
	 * itself.
	 */
	private static final double DRAIN_SHARE = 0.9;

	private final EventLoop loop;

	private final GatewaySettings settings;

	private final Membership membership;

	private final CopyService copies;

	private final ProgramOwner owner;

	private final PeerLinks peers;

	private final SlotClient slots;

	private final Services services;

	private final Set<CallerConnection> callers = new HashSet<>();

	private @Nullable RoutingTable routes;

	private boolean serversKnown;

	private boolean settledOnce;

	private volatile boolean draining;

	public Gateway(EventLoop loop, GatewaySettings settings, StateStore store, WireFormat wire, InstantSource clock) {
		this.loop = loop;
		this.settings = settings;
		MemberName self = new MemberName(
				settings.peerAddress().getAddress().getHostAddress() + ":" + settings.peerAddress().getPort(),
				settings.dataCentre(), Long.toString(clock.millis(), Character.MAX_RADIX));
		this.peers = new PeerLinks(loop, self.text(), System::nanoTime);
		Metrics metrics = new Metrics();
		StateStore hedged = new HedgedStore(loop, new MeasuredStore(store, metrics, System::nanoTime),
				System::nanoTime);
		this.membership = new Membership(loop, hedged, clock, System::nanoTime, self, this.peers, this::announceChange);
		this.copies = this.membership.copyService();
		this.owner = new ProgramOwner(this.membership, this.peers);
		this.slots = new SlotClient(loop, this.membership, this.peers, System::nanoTime);
		this.services = new Services(loop, clock, System::nanoTime, wire, () -> this.routes, () -> this.draining,
				this.membership, new OwnerClient(this.membership, this.owner, this.peers), this.slots,
				new HttpConnections(loop, CONNECT_TIMEOUT_MS, System::nanoTime),
				new CrashingRequests(clock, this.membership, this.peers), metrics);
	}

	/**
	 * Starts all roles. Runs on the event loop's thread or before it does any work.
	 * @param configuration source of routes
	 * @param directory source of backend servers
	 */
	public void start(ConfigurationSource configuration, BackendDirectory directory) {
		PeerListener.start(this.settings.peerAddress(), this.loop, this);
		StatusServer.start(this.settings.readinessAddress(), this.loop, () -> isReady() ? new StatusServer.Status(200, "ready\n")
				: new StatusServer.Status(503, "not ready\n"));
		StatusServer.start(this.settings.metricsAddress(), this.loop, () -> new StatusServer.Status(200, metrics()));
		listenForCallers();
		this.loop.execute(() -> {
			this.membership.start();
			configuration.watch(this::configure);
			directory.watch((list) -> {
				this.serversKnown = true;
				this.slots.updateServers(list);
			});
		});
		logger.info("{} started in {}", this.settings.name(), this.settings.dataCentre());
	}

	private void listenForCallers() {
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 1024)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}
			})
			.bind(this.settings.callerAddress())
			.syncUninterruptibly();
	}

	private void accept(SocketChannel channel) {
		RoutingTable now = this.routes;
		CallerLimits limits = (now != null) ? now.limits() : CallerLimits.DEFAULT;
		CallerConnection connection = new CallerConnection(this.services, channel);
		channel.pipeline()
			.addLast(new HttpServerCodec(MAX_LINE_BYTES, limits.maxHeaderBytes(), CHUNK_BYTES),
					new HttpObjectAggregator(limits.maxBodyBytes()), connection);
		this.callers.add(connection);
		channel.closeFuture().addListener((closed) -> this.callers.remove(connection));
	}

	private void configure(RoutingTable next) {
		RoutingTable now = this.routes;
		if (now != null && next.version() <= now.version()) {
			return;
		}
		this.routes = next;
		logger.atInfo()
			.addKeyValue(LogFields.CONFIGURATION, next.version())
			.addKeyValue(LogFields.REASON, (now != null) ? "replaces " + now.version() : "first")
			.log("configuration is in force");
	}

	private boolean isReady() {
		this.settledOnce = this.settledOnce || this.membership.isReady();
		return !this.draining && this.routes != null && this.serversKnown && this.settledOnce;
	}

	private String metrics() {
		Metrics metrics = this.services.metrics();
		Runtime runtime = Runtime.getRuntime();
		metrics.setGauge("slots_in_flight", this.slots.inFlightCount());
		metrics.setGauge("slots_queued", this.slots.queuedCount());
		metrics.setGauge("shards", this.membership.ownedShardCount());
		metrics.setGauge("generation", this.membership.generation());
		metrics.setGauge("turns", this.membership.turnCount());
		metrics.setGauge("server_connections_opened", this.services.servers().openedCount());
		metrics.setGauge("heap_bytes", runtime.totalMemory() - runtime.freeMemory());
		return metrics.render();
	}

	private void announceChange() {
		this.membership.peerAddresses()
			.forEach((peer) -> this.peers.sendOneWay(peer, new PeerMessage.AssignmentChanged()));
	}

	@Override
	public void handle(String sender, PeerMessage message, Consumer<PeerMessage> reply) {
		if (message instanceof PeerMessage.OpenTurn open) {
			this.owner.openTurn(open, reply);
		}
		else if (message instanceof PeerMessage.CloseTurn close) {
			this.owner.closeTurn(close, reply);
		}
		else if (message instanceof PeerMessage.FindTurn find) {
			reply.accept(this.owner.findTurn(find));
		}
		else if (message instanceof PeerMessage.AcquireSlot acquire) {
			this.slots.handle(acquire, reply);
		}
		else if (message instanceof PeerMessage.ReleaseSlot release) {
			this.slots.handle(release);
		}
		else if (message instanceof PeerMessage.HoldSlot hold) {
			this.slots.handle(hold);
		}
		else if (message instanceof PeerMessage.KeepCopies keep) {
			reply.accept(this.copies.handle(keep));
		}
		else if (message instanceof PeerMessage.CopiesTaken taken) {
			this.copies.handle(taken, sender);
		}
		else if (message instanceof PeerMessage.OfferCopies offer) {
			reply.accept(this.copies.handle(offer));
		}
		else if (message instanceof PeerMessage.CollectCopies collect) {
			reply.accept(this.copies.handle(collect));
		}
		else if (message instanceof PeerMessage.StoreCall call) {
			this.copies.handle(call, reply);
		}
		else if (message instanceof PeerMessage.AssignmentChanged) {
			this.membership.refresh();
		}
		else if (message instanceof PeerMessage.ServerLost lost) {
			this.services.crashing().handle(lost);
		}
		else {
			logger.warn("ignoring {} from {}", message.getClass().getSimpleName(), sender);
		}
	}

	@Override
	public void connectionLost(String sender) {
		logger.atInfo().addKeyValue(LogFields.PEER, sender).log("connection of a daemon was lost");
		this.slots.releaseAll(sender);
	}

	/**
	 * Stops gracefully: readiness goes off, shards are handed over, open requests end.
	 * Blocks the calling thread, which must not be the event loop's.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void stop() throws InterruptedException {
		CountDownLatch drained = new CountDownLatch(1);
		this.loop.execute(() -> {
			this.draining = true;
			logger.info("{} is stopping with {} caller connections", this.settings.name(), this.callers.size());
			this.membership.leave(() -> logger.info("shards are handed over"));
			List.copyOf(this.callers).forEach(CallerConnection::closeWhenIdle);
			awaitCallers(drained);
		});
		long graceMs = this.settings.shutdownGrace().toMillis();
		boolean done = drained.await((long) (graceMs * DRAIN_SHARE), TimeUnit.MILLISECONDS);
		logger.info("{} stopped, all requests ended: {}", this.settings.name(), done);
	}

	private void awaitCallers(CountDownLatch drained) {
		if (this.callers.isEmpty()) {
			drained.countDown();
			return;
		}
		this.loop.schedule(() -> awaitCallers(drained), 20, TimeUnit.MILLISECONDS);
	}

}

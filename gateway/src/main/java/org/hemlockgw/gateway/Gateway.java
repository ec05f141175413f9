package org.hemlockgw.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.internal.PlatformDependent;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.account.ConfigurationProof;
import org.hemlockgw.core.limit.CloseCause;
import org.hemlockgw.core.limit.ConnectionGroup;
import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.core.limit.ProgressLimits;
import org.hemlockgw.core.quota.ClockReading;
import org.hemlockgw.core.route.CallerLimits;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.entry.CallerConnection;
import org.hemlockgw.gateway.entry.CrashingRequests;
import org.hemlockgw.gateway.entry.ResponseMemory;
import org.hemlockgw.gateway.entry.Services;
import org.hemlockgw.gateway.entry.Shutdown;
import org.hemlockgw.gateway.entry.WireFormat;
import org.hemlockgw.gateway.net.CountedHeaders;
import org.hemlockgw.gateway.net.HttpConnections;
import org.hemlockgw.gateway.owner.HedgedStore;
import org.hemlockgw.gateway.owner.MemberName;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.owner.ProgramOwner;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerListener;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.PeerService;
import org.hemlockgw.gateway.quota.PermitClient;
import org.hemlockgw.gateway.quota.PermitHolder;
import org.hemlockgw.gateway.slots.SlotClient;
import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.MeasuredStore;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * A gateway daemon: accepts callers' requests, owns programs and schedules pools, all on
 * one event loop.
 */
public final class Gateway implements PeerService {

	private static final Logger logger = LoggerFactory.getLogger(Gateway.class);

	/**
	 * Timeout in milliseconds for connecting to a backend server; the latency between
	 * data centres is about a millisecond.
	 */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/**
	 * Maximum length of a request line in bytes; the platform limits the total size of
	 * the headers.
	 */
	private static final int MAX_REQUEST_LINE_BYTES = 8192;

	/** Maximum size in bytes of the body chunks that the decoder emits. */
	private static final int MAX_CHUNK_BYTES = 8192;

	/**
	 * Maximum number of header fields of a request and of its trailers. Together with the
	 * size limit it bounds the memory of a head.
	 */
	private static final int MAX_HEADER_FIELDS = 512;

	/** Descriptors that are kept for files, pipes and listeners. */
	private static final int RESERVED_DESCRIPTORS = 200;

	/**
	 * Fraction of the other descriptors for connections of callers; the rest is for
	 * servers, other daemons, the store and checks.
	 */
	private static final double CALLER_DESCRIPTOR_FRACTION = 0.5;

	/** Heap in bytes per connection of a caller; an idle one takes about 8 KB. */
	private static final int HEAP_PER_CONNECTION_BYTES = 32 * 1024;

	private static final int MIN_CALLER_CONNECTIONS = 64;

	/** Interval in milliseconds at which time limits of connections are checked. */
	private static final long LIMIT_CHECK_MS = 500;

	/**
	 * Fraction of the shutdown grace period in which open requests may finish; the rest
	 * is reserved for ending the others and for the exit of the process.
	 */
	private static final double DRAIN_FRACTION = 0.9;

	/** Fraction of the shutdown grace period for ending unfinished requests. */
	private static final double END_FRACTION = 0.05;

	/**
	 * Time in milliseconds for which callers are still accepted after the readiness check
	 * has begun to fail. Balancers check once a second and need two failures.
	 */
	private static final long READINESS_DELAY_MS = 2200;

	/** Maximum of {@link #READINESS_DELAY_MS} as a fraction of the grace period. */
	private static final double READINESS_DELAY_FRACTION = 0.3;

	private final EventLoop loop;

	private final GatewaySettings settings;

	private final Membership membership;

	private final ProgramOwner programOwner;

	private final PeerLinks peerLinks;

	private final SlotClient slotClient;

	private final PermitHolder permitHolder;

	private final Services services;

	private final MemoryBudget memoryBudget;

	private final ConnectionGroup callerGroup;

	private final Set<CallerConnection> callerConnections = new HashSet<>();

	private @Nullable Channel callerListener;

	private final CurrentConfiguration configuration;

	private boolean serverListReceived;

	private boolean hasSettled;

	private final Shutdown shutdown = new Shutdown(System::nanoTime);

	public Gateway(EventLoop loop, GatewaySettings settings, StateStore store, CrashLog crashLog, WireFormat wireFormat,
			InstantSource clock) {
		this.loop = loop;
		this.settings = settings;
		MemberName self = new MemberName(
				settings.peerAddress().getAddress().getHostAddress() + ":" + settings.peerAddress().getPort(),
				settings.dataCentre(), Long.toString(clock.millis(), Character.MAX_RADIX));
		this.peerLinks = new PeerLinks(loop, self.text(), System::nanoTime);
		Metrics metrics = new Metrics();
		long heapBytes = Runtime.getRuntime().maxMemory();
		this.memoryBudget = MemoryBudget.of(heapBytes, PlatformDependent.maxDirectMemory(), settings.memoryBytes(),
				System::nanoTime, this::progressLimits);
		this.callerGroup = new ConnectionGroup(maxCallerConnections(settings.maxDescriptors(), heapBytes));
		this.memoryBudget.add(this.callerGroup);
		StateStore hedgedStore = new HedgedStore(loop, new MeasuredStore(store, metrics, System::nanoTime),
				System::nanoTime);
		this.membership = new Membership(loop, hedgedStore, clock, System::nanoTime, self, this.peerLinks,
				this::notifyPeersOfAssignment);
		this.programOwner = new ProgramOwner(this.membership, this.peerLinks);
		this.slotClient = new SlotClient(loop, this.membership, this.peerLinks, System::nanoTime, metrics);
		this.permitHolder = new PermitHolder(loop, this.membership, this.peerLinks, this::findRoutes,
				() -> new ClockReading(System.nanoTime(), clock.millis()), settings.rateLimitBounds(), metrics);
		this.membership.setAssignmentListener(this.permitHolder);
		HttpConnections serverConnections = new HttpConnections(loop, CONNECT_TIMEOUT_MS, System::nanoTime);
		ConfigurationProof proof = new ConfigurationProof(settings.revocationLimit(), System::nanoTime, clock);
		this.configuration = new CurrentConfiguration(loop, proof, this.membership, this.peerLinks, metrics,
				this.slotClient::updateConfiguration);
		this.services = new Services(loop, clock, System::nanoTime, wireFormat, this.configuration::table,
				this.shutdown, this.membership, new OwnerClient(this.membership, this.programOwner, this.peerLinks),
				this.slotClient, serverConnections,
				new CrashingRequests(loop, clock, System::nanoTime, this.membership, this.peerLinks, crashLog,
						serverConnections),
				ResponseMemory.ofHeap(heapBytes), this.memoryBudget, metrics, proof,
				new PermitClient(loop, this.membership, this.peerLinks, this.permitHolder));
	}

	private @Nullable RoutingTable findRoutes() {
		return this.configuration.table();
	}

	private static int maxCallerConnections(int maxDescriptors, long heapBytes) {
		double sockets = (maxDescriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_FRACTION;
		return (int) Math.max(MIN_CALLER_CONNECTIONS,
				Math.min(sockets, (double) heapBytes / HEAP_PER_CONNECTION_BYTES));
	}

	// An exception would end the periodic task.
	private void checkClients() {
		try {
			this.memoryBudget.check();
		}
		catch (RuntimeException ex) {
			logger.error("checking the limits of clients failed", ex);
		}
	}

	private ProgressLimits progressLimits() {
		CallerLimits limits = callerLimits();
		// A planned stop leaves connections alone on which a request has begun to arrive;
		// its grace period limits their time.
		Duration head = this.shutdown.isActive() ? limits.idleTimeout() : limits.headerTimeout();
		return ProgressLimits.of(head, limits.idleTimeout());
	}

	private CallerLimits callerLimits() {
		RoutingTable current = this.configuration.table();
		return (current != null) ? current.limits() : CallerLimits.DEFAULT;
	}

	/**
	 * Starts all roles. Must be called on the event loop's thread or before the event
	 * loop runs its first task.
	 * @param source source of routing configurations
	 * @param directory source of the list of backend servers
	 */
	public void start(ConfigurationSource source, BackendDirectory directory) {
		PeerListener.start(this.settings.peerAddress(), this.loop, this.memoryBudget, this);
		StatusServer.start(this.settings.readinessAddress(), this.loop, this.memoryBudget,
				() -> isReady() ? new StatusServer.StatusResponse(200, "ready\n")
						: new StatusServer.StatusResponse(503, "not ready\n"));
		StatusServer.start(this.settings.metricsAddress(), this.loop, this.memoryBudget,
				() -> new StatusServer.StatusResponse(200, renderMetrics()));
		listenForCallers();
		this.loop.execute(() -> {
			this.membership.start();
			this.services.crashingRequests().start();
			this.configuration.start(source);
			this.loop.scheduleAtFixedRate(this::checkClients, LIMIT_CHECK_MS, LIMIT_CHECK_MS, TimeUnit.MILLISECONDS);
			directory.watch((list) -> {
				this.serverListReceived = true;
				this.slotClient.updateServers(list);
			});
		});
		logger.info("{} started in data centre {}", this.settings.name(), this.settings.dataCentre());
	}

	private void listenForCallers() {
		this.callerListener = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 1024)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					initCallerChannel(channel);
				}
			})
			.bind(this.settings.callerAddress())
			.syncUninterruptibly()
			.channel();
	}

	private void initCallerChannel(SocketChannel channel) {
		CallerConnection connection = new CallerConnection(this.services, channel);
		HttpServerCodec codec = new HttpServerCodec(
				CountedHeaders.decoderConfig(MAX_REQUEST_LINE_BYTES, callerLimits().maxHeaderBytes(), MAX_HEADER_FIELDS)
					.setMaxChunkSize(MAX_CHUNK_BYTES));
		if (!connection.open(this.callerGroup, codec)) {
			channel.close();
			return;
		}
		this.callerConnections.add(connection);
		channel.closeFuture().addListener((closed) -> this.callerConnections.remove(connection));
	}

	private boolean isReady() {
		this.hasSettled = this.hasSettled || this.membership.isReady();
		return !this.shutdown.isActive() && this.configuration.isReady() && this.serverListReceived && this.hasSettled
				&& this.services.crashingRequests().isLoaded();
	}

	private String renderMetrics() {
		Metrics metrics = this.services.metrics();
		Runtime runtime = Runtime.getRuntime();
		metrics.setGauge("slots_in_flight", this.slotClient.inFlightCount());
		metrics.setGauge("slots_queued", this.slotClient.queuedCount());
		this.slotClient.renderPlacement(metrics);
		metrics.setGauge("fair_share_lag_ms", this.slotClient.fairShareLagMs());
		metrics.setGauge("shards", this.membership.ownedShardCount());
		metrics.setGauge("generation", this.membership.generation());
		metrics.setGauge("turns", this.membership.turnCount());
		metrics.setGauge("unacknowledged_records", this.membership.unacknowledgedRecordCount());
		metrics.setGauge("server_connections_opened", this.services.serverConnections().openedCount());
		metrics.setGauge("configuration_proof_age_ms", this.configuration.proofAgeMs());
		metrics.setGauge("client_bytes", this.memoryBudget.heldBytes());
		metrics.setGauge("client_connections", this.callerGroup.size());
		metrics.setGauge("client_bodies_waiting", this.memoryBudget.waitingCount());
		metrics.setGauge("client_refused_for_memory", this.memoryBudget.refusedCount());
		for (CloseCause cause : CloseCause.values()) {
			metrics.setGauge(Metrics.withLabel("client_connections_closed", "cause", cause.label()),
					this.memoryBudget.closedCount(cause));
		}
		metrics.setGauge("heap_bytes", runtime.totalMemory() - runtime.freeMemory());
		return metrics.render();
	}

	private void notifyPeersOfAssignment() {
		this.membership.peerAddresses()
			.forEach((peer) -> this.peerLinks.sendOneWay(peer, new PeerMessage.AssignmentChanged()));
	}

	@Override
	public void handle(String sender, PeerMessage message, Consumer<PeerMessage> reply) {
		if (message instanceof PeerMessage.AskPermit ask) {
			this.permitHolder.handle(ask, reply);
		}
		else if (message instanceof PeerMessage.ReturnPermit returned) {
			this.permitHolder.handle(returned);
		}
		else if (message instanceof PeerMessage.AccountsHandover handover) {
			this.permitHolder.handle(handover, reply);
		}
		else if (message instanceof PeerMessage.OpenTurn open) {
			this.programOwner.openTurn(open, reply);
		}
		else if (message instanceof PeerMessage.CloseTurn close) {
			this.programOwner.closeTurn(close, reply);
		}
		else if (message instanceof PeerMessage.FindTurn find) {
			reply.accept(this.programOwner.findTurn(find));
		}
		else if (message instanceof PeerMessage.AcquireSlot acquire) {
			this.slotClient.handle(acquire, reply);
		}
		else if (message instanceof PeerMessage.ReleaseSlot release) {
			this.slotClient.handle(release);
		}
		else if (message instanceof PeerMessage.HoldSlot hold) {
			this.slotClient.handle(hold);
		}
		else if (message instanceof PeerMessage.ServerLeaving leaving) {
			this.slotClient.handle(leaving);
		}
		else if (message instanceof PeerMessage.StoreCall call) {
			this.membership.relay(call, reply);
		}
		else if (message instanceof PeerMessage.ShardFenced fenced) {
			this.membership.handle(fenced);
		}
		else if (message instanceof PeerMessage.AssignmentChanged) {
			this.membership.refresh();
		}
		else if (message instanceof PeerMessage.ServerLost lost) {
			this.services.crashingRequests().handle(lost);
		}
		else if (message instanceof PeerMessage.ContentProcessed processed) {
			this.services.crashingRequests().handle(processed);
		}
		else if (message instanceof PeerMessage.ProofRequest request) {
			this.configuration.handle(request, reply);
		}
		else {
			logger.warn("ignoring unexpected message {} from {}", message.getClass().getSimpleName(), sender);
		}
	}

	@Override
	public void connectionLost(String sender) {
		logger.atInfo().addKeyValue(LogFields.PEER, sender).log("connection from a peer daemon was lost");
		this.slotClient.releaseAll(sender);
	}

	/**
	 * Shuts down gracefully: reports not ready, hands over the shards, accepts callers
	 * until their balancer has noticed, and lets open requests finish. Those that last
	 * longer than the grace period are answered with an error. Blocks the calling thread,
	 * which must not be the event loop's.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void stop() throws InterruptedException {
		CountDownLatch callersClosed = new CountDownLatch(1);
		long graceMs = this.settings.shutdownGrace().toMillis();
		long drainMs = (long) (graceMs * DRAIN_FRACTION);
		long readinessDelayMs = Math.min(READINESS_DELAY_MS, (long) (graceMs * READINESS_DELAY_FRACTION));
		this.loop.execute(() -> {
			this.shutdown.begin(readinessDelayMs + CallerConnection.FIRST_REQUEST_MS, drainMs);
			logger.info("{} is shutting down with {} open caller connections", this.settings.name(),
					this.callerConnections.size());
			this.membership.leave(() -> logger.info("shards were handed over"));
			this.loop.schedule(() -> closeCallers(callersClosed), readinessDelayMs, TimeUnit.MILLISECONDS);
		});
		boolean finished = callersClosed.await(drainMs, TimeUnit.MILLISECONDS);
		if (!finished) {
			this.loop.execute(() -> List.copyOf(this.callerConnections).forEach(CallerConnection::endExchange));
			callersClosed.await((long) (graceMs * END_FRACTION), TimeUnit.MILLISECONDS);
		}
		logger.info("{} stopped, all requests ended: {}", this.settings.name(), finished);
	}

	private void closeCallers(CountDownLatch done) {
		if (this.callerListener != null) {
			this.callerListener.close();
		}
		List.copyOf(this.callerConnections).forEach(CallerConnection::closeWhenIdle);
		awaitCallersClosed(done);
	}

	private void awaitCallersClosed(CountDownLatch callersClosed) {
		if (this.callerConnections.isEmpty()) {
			callersClosed.countDown();
			return;
		}
		this.loop.schedule(() -> awaitCallersClosed(callersClosed), 20, TimeUnit.MILLISECONDS);
	}

}

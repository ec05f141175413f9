package org.hemlockgw.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.control.ControlRecord.Down;
import org.hemlockgw.core.ledger.AppendRateShare;
import org.hemlockgw.core.ledger.LedgerCodec;
import org.hemlockgw.core.platform.LogService;
import org.hemlockgw.daemon.admin.AdminServer;
import org.hemlockgw.daemon.admin.AdminSources;
import org.hemlockgw.daemon.admin.MemoryJournal;
import org.hemlockgw.daemon.admin.Readiness;
import org.hemlockgw.daemon.config.ConfigController;
import org.hemlockgw.daemon.config.WirePeerConfiguration;
import org.hemlockgw.daemon.control.ControlController;
import org.hemlockgw.daemon.control.ControlStream;
import org.hemlockgw.daemon.control.MonitorController;
import org.hemlockgw.daemon.dispatch.CacheReleaser;
import org.hemlockgw.daemon.dispatch.CompletionEngineChooser;
import org.hemlockgw.daemon.dispatch.DispatcherContext;
import org.hemlockgw.daemon.dispatch.DispatcherService;
import org.hemlockgw.daemon.dispatch.SessionSweeper;
import org.hemlockgw.daemon.entry.CallerServer;
import org.hemlockgw.daemon.entry.EntryContext;
import org.hemlockgw.daemon.ledger.CurrentLedger;
import org.hemlockgw.daemon.ledger.LedgerReader;
import org.hemlockgw.daemon.ledger.LedgerSettings;
import org.hemlockgw.daemon.ledger.LedgerWriter;
import org.hemlockgw.daemon.membership.VmListController;
import org.hemlockgw.daemon.owner.OwnerService;
import org.hemlockgw.daemon.routing.HolderLookup;
import org.hemlockgw.daemon.routing.RoutedDispatcher;
import org.hemlockgw.daemon.routing.RoutedProgramService;
import org.hemlockgw.daemon.settings.Settings;
import org.hemlockgw.daemon.trace.Tracing;
import org.hemlockgw.remote.HttpLogService;
import org.hemlockgw.remote.HttpVmList;
import org.hemlockgw.wire.LocalServices;
import org.hemlockgw.wire.PeerServer;
import org.hemlockgw.wire.PeerTimings;
import org.hemlockgw.wire.RemotePeerProbe;
import org.hemlockgw.wire.codec.ProtobufControlCodec;
import org.hemlockgw.wire.codec.ProtobufLedgerCodec;

/**
 * All parts of one daemon, from start to graceful shutdown.
 */
public final class Daemon implements AutoCloseable {

	/** Orders to engines need a read of the control stream that is younger. */
	private static final Duration ENGINE_LEASE = Duration.ofSeconds(5);

	/** Two heartbeats; a later answer does not save its daemon from a report. */
	private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

	/** The programs of each session are looked up, so sweeps are rare. */
	private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(30);

	private final InstantSource clock = InstantSource.system();

	private final Blackboard blackboard = Blackboard.create();

	private final MetricRegistry metrics = new MetricRegistry();

	private final MemoryJournal journal = new MemoryJournal(this.clock);

	private final DaemonThreads threads = DaemonThreads.create();

	private final Settings settings;

	private final Tracing tracing;

	private final LogService log;

	private final CurrentLedger ledger;

	private final ControlStream controlStream;

	private final PeerLinks peers;

	private final ConfigController configuration;

	private final VmListController vmList;

	private final DispatcherService dispatcher;

	private final OwnerService owner;

	private final ControlController control;

	private final MonitorController monitor;

	private final SessionSweeper sweeper;

	private final CallerServer callerServer;

	private final PeerServer peerServer;

	private final AdminServer adminServer;

	private final GracefulShutdown shutdown;

	private Daemon(Settings settings) throws IOException {
		this.settings = settings;
		this.tracing = new Tracing(settings.name());
		this.log = new HttpLogService(settings.logAddress(), this.threads.worker());
		LedgerCodec codec = new ProtobufLedgerCodec();
		LedgerSettings ledgerSettings = LedgerSettings.DEFAULT.withBatchInterval(this::batchInterval);
		this.ledger = new CurrentLedger(new Incarnation(settings.name(), randomId()),
				(incarnation) -> new LedgerWriter(this.log, codec, incarnation, ledgerSettings,
						this.threads.scheduler(), this.clock));
		this.controlStream = new ControlStream(this.log, new ProtobufControlCodec(), this.blackboard.control(),
				this.threads.scheduler(), this.clock);
		this.peers = new PeerLinks(this.threads, this::incarnation,
				() -> this.blackboard.configuration().get().version());
		this.configuration = new ConfigController(this.log, this.blackboard, this.threads.scheduler(), this.clock,
				new WirePeerConfiguration(settings.name(), this.blackboard.vms()::get, this.peers.client()));
		this.peers.onVersion(this.configuration::onPeerVersion);
		this.vmList = new VmListController(new HttpVmList(settings.vmListAddress(), this.threads.worker()),
				this.blackboard, this.threads.scheduler());
		BackendClients clients = new BackendClients(this.blackboard, this.threads.worker());
		HolderLookup holders = new HolderLookup(this.blackboard, this::incarnation);
		DispatcherContext dispatching = new DispatcherContext(this.blackboard, clients::engine, this.journal,
				this.tracing, this.threads.scheduler(), this.threads.worker(), this.clock, this.metrics);
		this.dispatcher = new DispatcherService(dispatching, new CacheReleaser(dispatching, this::leaseValid));
		RoutedDispatcher routedDispatcher = new RoutedDispatcher(holders, this.dispatcher, this.peers::dispatcher,
				this.peers::release, this.threads.scheduler(), this.clock, this.journal);
		this.blackboard.control().addListener(routedDispatcher::controlChanged);
		this.owner = new OwnerService(this.ledger, routedDispatcher, new CompletionEngineChooser(this.blackboard),
				clients::service, this.blackboard, this.controlStream, this.journal, this.tracing,
				this.threads.scheduler(), this.threads.worker(), this.clock, this.metrics);
		this.control = new ControlController(this.controlStream, this.ledger,
				new LedgerReader(this.log, codec, ledgerSettings, this.threads.scheduler()), this.owner,
				this.blackboard, Daemon::randomId, this.threads.scheduler(), this.clock);
		this.monitor = new MonitorController(new RemotePeerProbe(this.peers.client(), PROBE_TIMEOUT), this.blackboard,
				this.controlStream, this::incarnation, this.controlStream::current, this.threads.scheduler(),
				this.clock);
		RoutedProgramService programs = new RoutedProgramService(holders, this.owner, this.peers::owner,
				this.threads.scheduler(), this.clock, this.journal);
		this.sweeper = new SessionSweeper(dispatching, this.dispatcher, programs, settings.name(), SWEEP_INTERVAL);
		this.peerServer = PeerServer.start(address(settings.peerAddress()), this.threads.eventLoops(),
				this.threads.worker(), this.peers.self(),
				new LocalServices(this.owner, this.dispatcher, this::configurationDocument), PeerTimings.DEFAULT);
		this.callerServer = CallerServer.start(address(settings.callerAddress()), new EntryContext(this.blackboard,
				programs, this.tracing, this.journal, this.clock, settings.dataCentre(), this.metrics));
		this.shutdown = new GracefulShutdown(this.callerServer, this.peerServer, this.dispatcher, this::releaseAll,
				this::close);
		this.adminServer = new AdminServer(settings.adminAddress(),
				new AdminSources(this::incarnation, this::readiness, this.metrics, this.blackboard, this.journal,
						this.tracing.store(), this.configuration::snapshot, this.shutdown));
	}

	/**
	 * Starts a daemon.
	 * @param settings its settings
	 * @return the daemon, which listens but may not be ready yet
	 * @throws IOException if a listener's address can't be used
	 */
	public static Daemon start(Settings settings) throws IOException {
		Daemon daemon = new Daemon(settings);
		daemon.configuration.start();
		daemon.vmList.start();
		daemon.dispatcher.start();
		daemon.control.start();
		daemon.monitor.start();
		daemon.sweeper.start();
		daemon.adminServer.start();
		return daemon;
	}

	/**
	 * Waits for the first configuration version. The VM list can name this daemon only
	 * after its addresses are known, so it is not waited for.
	 * @return completes when the configuration has been read
	 */
	public CompletableFuture<Void> awaitConfiguration() {
		return this.configuration.awaitFirst().thenAccept((version) -> {
		});
	}

	/**
	 * Returns the addresses of the listeners.
	 * @return {@code caller=ip:port peer=ip:port admin=ip:port} with the real ports
	 */
	public String addresses() {
		return "caller=" + text(this.callerServer.address()) + " peer=" + text(this.peerServer.address()) + " admin="
				+ this.adminServer.address();
	}

	/**
	 * Returns the graceful shutdown.
	 * @return runs the shutdown once; later runs wait for its end
	 */
	public GracefulShutdown shutdown() {
		return this.shutdown;
	}

	private Readiness readiness() {
		if (this.shutdown.begun()) {
			return new Readiness(false, "shutting down");
		}
		if (this.blackboard.configuration().get().version() == 0) {
			return new Readiness(false, "no configuration version has been accepted yet");
		}
		if (!this.blackboard.vms().get().containsKey(this.settings.name())) {
			return new Readiness(false, "the VM list does not name " + this.settings.name());
		}
		Incarnation known = this.blackboard.control().get().incarnations().get(this.settings.name());
		if (!incarnation().equals(known)) {
			return new Readiness(false, "the start of this incarnation is not in the control stream yet");
		}
		return new Readiness(true, "");
	}

	private Duration batchInterval() {
		int daemons = this.blackboard.control().get().incarnations().size();
		return AppendRateShare.minInterval(this.settings.batchInterval(), daemons);
	}

	private Incarnation incarnation() {
		return this.ledger.writer().incarnation();
	}

	// The other daemons claim what this one released only once it counts as down. Without
	// the record they would find out by its silence, 2 s after its exit.
	private CompletableFuture<Void> releaseAll() {
		return this.control.drainAll()
			.thenCompose((done) -> this.control
				.append(new Down(incarnation(), this.settings.name(), "graceful shutdown", this.clock.instant())))
			.thenAccept((offset) -> {
			});
	}

	private byte[] configurationDocument() {
		return this.configuration.snapshot().map(ConfigCodec::encode).orElse(new byte[0]);
	}

	private boolean leaseValid() {
		Instant read = this.controlStream.lastRead();
		return read != null && Duration.between(read, this.clock.instant()).compareTo(ENGINE_LEASE) < 0;
	}

	private static String randomId() {
		return UUID.randomUUID().toString().substring(0, 8);
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	private static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	@Override
	public void close() {
		this.callerServer.close();
		this.monitor.stop();
		this.control.stop();
		this.configuration.close();
		this.vmList.close();
		this.owner.close();
		this.peerServer.close();
		this.peers.close();
		this.adminServer.close();
		this.tracing.close();
		this.threads.close();
	}

}

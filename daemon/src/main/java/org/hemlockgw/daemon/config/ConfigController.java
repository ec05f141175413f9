package org.hemlockgw.daemon.config;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.config.ConfigSnapshot;
import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.core.platform.LogService;

/**
 * Reads the configuration stream by long polls and puts the version in force on the
 * blackboard. The version never decreases. While the log is down the version in force
 * stays, and a newer one is fetched from a peer.
 */
public final class ConfigController implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration POLL_WAIT = Duration.ofSeconds(3);

	// A connection that goes silent is given up early enough for the 8 s target.
	private static final long POLL_TIMEOUT_MS = 4000;

	private static final long LOAD_TIMEOUT_MS = 10_000;

	private static final long PEER_TIMEOUT_MS = 2000;

	private static final long RETRY_MIN_MS = 250;

	private static final long RETRY_MAX_MS = 1000;

	private static final long EMPTY_PAGE_DELAY_MS = 20;

	private final LogService log;

	private final ConfigStreamReader stream;

	private final Blackboard blackboard;

	private final ScheduledExecutorService executor;

	private final SnapshotWriter snapshots;

	private final PeerConfiguration peers;

	private final CompletableFuture<Configuration> first = new CompletableFuture<>();

	private final AtomicBoolean catchingUp = new AtomicBoolean();

	private volatile ConfigState state = ConfigState.EMPTY;

	private volatile boolean loadNeeded = true;

	private volatile boolean closed;

	public ConfigController(LogService log, Blackboard blackboard, ScheduledExecutorService executor,
			InstantSource clock) {
		this(log, blackboard, executor, clock,
				() -> CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.NOT_FOUND, "No peer is known")));
	}

	public ConfigController(LogService log, Blackboard blackboard, ScheduledExecutorService executor,
			InstantSource clock, PeerConfiguration peers) {
		this.log = log;
		this.stream = new ConfigStreamReader(log);
		this.blackboard = blackboard;
		this.executor = executor;
		this.snapshots = new SnapshotWriter(log, executor, clock, this::state);
		this.peers = peers;
	}

	public void start() {
		execute(this::poll);
	}

	/**
	 * Returns a future for readiness.
	 * @return completes with the first version read, which is 0 for an empty stream
	 */
	public CompletableFuture<Configuration> awaitFirst() {
		return this.first.copy();
	}

	public long version() {
		return this.state.version();
	}

	public ConfigState state() {
		return this.state;
	}

	/**
	 * Returns the state for peers.
	 * @return the document in force with its history; empty before the first
	 */
	public Optional<ConfigSnapshot> snapshot() {
		return this.first.isDone() ? Optional.of(this.state.toSnapshot()) : Optional.empty();
	}

	/**
	 * Reads the stream at once if a peer has a higher version; asks a peer if the log
	 * cannot be read.
	 * @param version version in force at a peer
	 */
	public void onPeerVersion(long version) {
		if (version <= version() || this.closed || !this.catchingUp.compareAndSet(false, true)) {
			return;
		}
		execute(() -> read(Duration.ZERO, PEER_TIMEOUT_MS).handle((count, error) -> error)
			.thenCompose((error) -> (error != null) ? askPeer() : CompletableFuture.completedFuture(null))
			.whenComplete((ok, error) -> this.catchingUp.set(false)));
	}

	private void poll() {
		if (this.closed) {
			return;
		}
		read(POLL_WAIT, POLL_TIMEOUT_MS).whenComplete((count, error) -> {
			if (error != null) {
				onReadFailure(error);
				return;
			}
			// The delay bounds the loop if the log returns empty pages without waiting.
			schedule(this::poll, (count > 0) ? 0 : EMPTY_PAGE_DELAY_MS);
			this.snapshots.writeIfDue();
		});
	}

	private void onReadFailure(Throwable error) {
		schedule(this::poll, ThreadLocalRandom.current().nextLong(RETRY_MIN_MS, RETRY_MAX_MS));
		logger.atWarning()
			.atMostEvery(10, TimeUnit.SECONDS)
			.log("Cannot read the configuration stream; version %d stays in force: %s", version(),
					CallFailure.of(error).getMessage());
		if (!this.first.isDone()) {
			askPeer();
		}
	}

	/**
	 * Reads once.
	 * @param wait how long the log may wait for a record
	 * @param timeoutMs how long to wait for the log
	 * @return number of records read
	 */
	private CompletableFuture<Integer> read(Duration wait, long timeoutMs) {
		try {
			return readOnce(wait, timeoutMs);
		}
		catch (RuntimeException ex) {
			// A failure of any kind must not end the polls.
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<Integer> readOnce(Duration wait, long timeoutMs) {
		if (this.loadNeeded) {
			return this.stream.load().orTimeout(LOAD_TIMEOUT_MS, TimeUnit.MILLISECONDS).thenApply((loaded) -> {
				adopt(loaded);
				return 1;
			});
		}
		CompletableFuture<LogPage> page = this.log.read(ConfigStreamReader.NAME, this.state.nextOffset(),
				ConfigStreamReader.PAGE_RECORDS, wait);
		return page.copy().orTimeout(timeoutMs, TimeUnit.MILLISECONDS).whenComplete((ok, error) -> {
			if (error != null) {
				// Frees the connection of a read that got no response.
				page.cancel(true);
			}
		}).thenApply(this::fold);
	}

	private synchronized int fold(LogPage page) {
		this.snapshots.onFirstRetained(page.firstOffset());
		if (page.firstOffset() > this.state.nextOffset()) {
			logger.atWarning()
				.log("Records %d to %d of the configuration stream expired unread; starting from a snapshot",
						this.state.nextOffset(), page.firstOffset() - 1);
			this.loadNeeded = true;
			return 0;
		}
		ConfigState folded = this.state;
		for (LogRecord entry : page.records()) {
			if (entry.offset() > folded.nextOffset()) {
				// Another read with an earlier start folds the records between.
				break;
			}
			folded = folded.apply(entry);
		}
		publish(folded);
		return page.records().size();
	}

	private synchronized void adopt(ConfigState loaded) {
		if (this.first.isDone() && (loaded.version() < version() || loaded.nextOffset() < this.state.nextOffset())) {
			throw new IllegalStateException("version %d at offset %d is older than version %d at offset %d in force"
				.formatted(loaded.version(), loaded.nextOffset(), version(), this.state.nextOffset()));
		}
		this.loadNeeded = false;
		publish(loaded);
		this.first.complete(loaded.configuration());
	}

	private void publish(ConfigState next) {
		long before = version();
		this.state = next;
		if (next.version() > before) {
			this.blackboard.configuration().set(next.configuration());
			logger.atInfo().log("Configuration version %d is in force", next.version());
		}
	}

	private CompletableFuture<?> askPeer() {
		return CompletableFuture.completedFuture(null)
			.thenCompose((start) -> this.peers.fetch())
			.orTimeout(PEER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.thenAccept(this::adoptFromPeer)
			.exceptionally((ex) -> {
				logger.atWarning()
					.atMostEvery(10, TimeUnit.SECONDS)
					.log("No peer sent its configuration: %s", ex.getMessage());
				return null;
			});
	}

	private synchronized void adoptFromPeer(ConfigSnapshot snapshot) {
		if (this.first.isDone() && snapshot.version() <= version()) {
			return;
		}
		ConfigState.of(snapshot).ifPresent(this::adopt);
	}

	private void execute(Runnable task) {
		schedule(task, 0);
	}

	private void schedule(Runnable task, long delayMs) {
		try {
			this.executor.schedule(task, delayMs, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			this.closed = true;
		}
	}

	@Override
	public void close() {
		this.closed = true;
	}

}

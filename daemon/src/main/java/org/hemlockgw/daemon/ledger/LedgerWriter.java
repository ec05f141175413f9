package org.hemlockgw.daemon.ledger;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.Ledger;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerCodec;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.EpochOpened;
import org.hemlockgw.core.ledger.LedgerRecord.OfProgram;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Seal;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.core.platform.LogService;

/**
 * Writes the ledger of one incarnation. Records go into batches with one append in
 * flight. It folds what it has written, so that checkpoints agree with the stream.
 */
public final class LedgerWriter implements Ledger {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Incarnation incarnation;

	private final LedgerSettings settings;

	private final ScheduledExecutorService scheduler;

	private final InstantSource clock;

	private final FencedAppender appender;

	private final List<Consumer<Set<ShardId>>> sealListeners = new CopyOnWriteArrayList<>();

	private final Object lock = new Object();

	private final LedgerState fold = LedgerState.ofAllShards();

	private final Deque<RecordGroup> queue = new ArrayDeque<>();

	private final CheckpointProgress progress = new CheckpointProgress(this.fold);

	private List<RecordGroup> inFlight = List.of();

	private long bufferedBytes;

	private long sequence;

	private @Nullable Instant inFlightSince;

	private Instant lastStart = Instant.MIN;

	private boolean timerSet;

	private @Nullable ScheduledFuture<?> timer;

	private boolean retired;

	public LedgerWriter(LogService log, LedgerCodec codec, Incarnation incarnation, LedgerSettings settings,
			ScheduledExecutorService scheduler, InstantSource clock) {
		this.incarnation = incarnation;
		this.settings = settings;
		this.scheduler = scheduler;
		this.clock = clock;
		this.appender = new FencedAppender(log, codec, incarnation.ledgerStream(), settings, scheduler, this::read);
		this.fold.startLedger(incarnation.id());
	}

	public Incarnation incarnation() {
		return this.incarnation;
	}

	/**
	 * Adds a listener for shards that a successor has sealed.
	 * @param listener called with the shards, from the thread of a log call
	 */
	public void addSealListener(Consumer<Set<ShardId>> listener) {
		this.sealListeners.add(listener);
	}

	@Override
	public CompletableFuture<Void> append(List<OfProgram> records) {
		if (records.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		ShardId shard = records.get(0).program().shard();
		for (OfProgram record : records) {
			if (!record.program().shard().equals(shard)) {
				throw new IllegalArgumentException(
						"records must be of one shard, were of " + shard + " and " + record.program().shard());
			}
		}
		return enqueue(RecordGroup.buffered(shard, records));
	}

	/**
	 * Opens epochs of shards that this incarnation has claimed: from here on only a seal
	 * of a higher epoch makes records of them void.
	 * @param epochs epoch by shard
	 * @return completes when the records are durable
	 */
	public CompletableFuture<Void> open(Map<ShardId, Long> epochs) {
		List<LedgerRecord> records = new ArrayList<>();
		LedgerReader.byEpoch(epochs).forEach((epoch, shards) -> records.add(new EpochOpened(shards, epoch, false)));
		return enqueue(RecordGroup.unbuffered(null, records));
	}

	/**
	 * Writes the whole state of shards after their take-over. It takes no part of the
	 * buffer, because its texts are the ones that the program owner keeps.
	 * @param epochs epoch by shard
	 * @param programs all programs of the shards
	 * @return completes when the records are durable; fails with {@code NOT_OWNER} when a
	 * shard was sealed
	 */
	public CompletableFuture<Void> restate(Map<ShardId, Long> epochs, Map<ProgramId, ProgramRecord> programs) {
		Map<ShardId, Long> empty = new TreeMap<>(epochs);
		List<CompletableFuture<Void>> written = new ArrayList<>();
		LedgerState.checkpoints(programs).forEach((shard, checkpoints) -> {
			long epoch = Objects.requireNonNull(empty.remove(shard));
			List<LedgerRecord> records = new ArrayList<>();
			records.add(new EpochOpened(Set.of(shard), epoch, true));
			records.addAll(checkpoints);
			written.add(enqueue(RecordGroup.unbuffered(shard, records)));
		});
		List<LedgerRecord> rest = new ArrayList<>();
		LedgerReader.byEpoch(empty).forEach((epoch, shards) -> rest.add(new EpochOpened(shards, epoch, true)));
		if (!rest.isEmpty()) {
			written.add(enqueue(RecordGroup.unbuffered(null, rest)));
		}
		return CompletableFuture.allOf(written.toArray(CompletableFuture[]::new));
	}

	/**
	 * Returns the programs of some shards as this ledger has them.
	 * @param firstEpochs first epoch that counts by shard
	 * @return state by program
	 */
	public Map<ProgramId, ProgramRecord> programs(Map<ShardId, Long> firstEpochs) {
		synchronized (this.lock) {
			Set<ShardId> shards = new HashSet<>(firstEpochs.keySet());
			shards.removeIf((shard) -> this.fold.fullStateEpoch(shard) < firstEpochs.getOrDefault(shard, 0L));
			return this.fold.programs(shards);
		}
	}

	/**
	 * Returns the shards whose records this ledger has for a successor.
	 * @return the shards opened and not forgotten
	 */
	public Set<ShardId> openShards() {
		synchronized (this.lock) {
			return this.fold.openEpochs().keySet();
		}
	}

	/**
	 * Leaves shards out of further checkpoints, after a successor's take-over of them is
	 * complete.
	 * @param shards the shards
	 */
	public void forget(Set<ShardId> shards) {
		synchronized (this.lock) {
			this.fold.removeShards(shards);
		}
	}

	/**
	 * Refuses further records, after the incarnation was reported down. Records that wait
	 * are still written, because a successor has not yet sealed their shards.
	 */
	public void retire() {
		synchronized (this.lock) {
			this.retired = true;
			if (this.timer != null) {
				this.timer.cancel(false);
			}
		}
	}

	@Override
	public boolean isLogUnavailable() {
		synchronized (this.lock) {
			return this.inFlightSince != null && Duration.between(this.inFlightSince, this.clock.instant())
				.compareTo(this.settings.outageThreshold()) >= 0;
		}
	}

	@Override
	public double bufferFillRatio() {
		synchronized (this.lock) {
			return Math.min(1.0, (double) this.bufferedBytes / this.settings.bufferBytes());
		}
	}

	/** Starts periodic checkpoints. */
	public void start() {
		long interval = this.settings.checkpointInterval().toNanos();
		synchronized (this.lock) {
			this.timer = this.scheduler.scheduleWithFixedDelay(this::checkpoint, interval, interval,
					TimeUnit.NANOSECONDS);
		}
	}

	/**
	 * Starts to write a checkpoint of all programs, unless one is being written or a
	 * successor still has to read what is ahead of its seal.
	 */
	public void checkpoint() {
		synchronized (this.lock) {
			if (this.progress.active() || this.retired || this.fold.hasSealedPrograms()) {
				return;
			}
			this.fold.removeEndedBefore(this.clock.instant().minus(this.settings.endedRetention()));
			this.progress.begin();
		}
		sendNext();
	}

	private CompletableFuture<Void> enqueue(RecordGroup group) {
		synchronized (this.lock) {
			if (this.retired || (group.shard() != null && this.fold.isSealed(group.shard()))) {
				return CompletableFuture.failedFuture(notOwner());
			}
			if (group.bufferBytes() > 0 && this.bufferedBytes + group.bufferBytes() > this.settings.bufferBytes()) {
				return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE,
						"the buffer of " + this.settings.bufferBytes() + " bytes that waits for the log is full"));
			}
			this.bufferedBytes += group.bufferBytes();
			this.queue.add(group);
		}
		sendNext();
		return group.done();
	}

	private void sendNext() {
		LedgerBatch batch;
		synchronized (this.lock) {
			boolean idle = this.queue.isEmpty() && !this.progress.active();
			if (this.inFlightSince != null || this.timerSet || idle) {
				return;
			}
			Instant now = this.clock.instant();
			Duration rest = (this.lastStart == Instant.MIN) ? Duration.ZERO
					: Duration.between(now, this.lastStart.plus(this.settings.batchInterval().get()));
			if (rest.compareTo(Duration.ZERO) > 0) {
				this.timerSet = true;
				this.scheduler.schedule(this::onTimer, rest.toNanos(), TimeUnit.NANOSECONDS);
				return;
			}
			this.lastStart = now;
			this.inFlightSince = now;
			batch = nextBatch();
		}
		this.appender.append(batch).whenComplete((done, thrown) -> {
			if (thrown != null) {
				lost();
			}
			else {
				settled();
			}
		});
	}

	private void onTimer() {
		synchronized (this.lock) {
			this.timerSet = false;
		}
		sendNext();
	}

	private LedgerBatch nextBatch() {
		List<LedgerRecord> records = this.progress.next(this.settings.batchBytes());
		long bytes = RecordSize.of(records);
		List<RecordGroup> groups = new ArrayList<>();
		while (!this.queue.isEmpty() && bytes < this.settings.batchBytes()) {
			RecordGroup group = this.queue.remove();
			groups.add(group);
			records.addAll(group.records());
			bytes += group.bytes();
		}
		this.inFlight = groups;
		return new LedgerBatch(this.incarnation.id(), this.sequence++, this.progress.offset(), records);
	}

	private void read(long offset, LedgerBatch batch) {
		List<RecordGroup> durable = new ArrayList<>();
		List<RecordGroup> refused = new ArrayList<>();
		Set<ShardId> sealed = new TreeSet<>();
		synchronized (this.lock) {
			boolean counts = this.fold.apply(batch);
			if (!batch.writer().equals(this.incarnation.id())) {
				findSealed(batch, sealed, refused);
			}
			else if (counts) {
				for (RecordGroup group : this.inFlight) {
					boolean fenced = group.shard() != null && this.fold.isSealed(group.shard());
					(fenced ? refused : durable).add(group);
				}
				this.inFlight = List.of();
				this.progress.written(offset);
			}
			durable.forEach((group) -> this.bufferedBytes -= group.bufferBytes());
			refused.forEach((group) -> this.bufferedBytes -= group.bufferBytes());
		}
		if (!sealed.isEmpty()) {
			logger.atInfo()
				.log("%d shards of %s were sealed by %s", sealed.size(), this.incarnation.ledgerStream(),
						batch.writer());
			this.sealListeners.forEach((listener) -> listener.accept(Set.copyOf(sealed)));
		}
		durable.forEach((group) -> group.done().complete(null));
		refused.forEach((group) -> group.done().completeExceptionally(notOwner()));
	}

	private void findSealed(LedgerBatch batch, Set<ShardId> sealed, List<RecordGroup> refused) {
		for (LedgerRecord record : batch.records()) {
			if (record instanceof Seal seal) {
				seal.shards().stream().filter(this.fold::isSealed).forEach(sealed::add);
			}
		}
		this.queue.removeIf((group) -> group.shard() != null && sealed.contains(group.shard()) && refused.add(group));
	}

	private void settled() {
		synchronized (this.lock) {
			this.inFlightSince = null;
		}
		sendNext();
	}

	// Seals may have been missed, so nothing of this ledger may be acted on any more.
	private void lost() {
		List<RecordGroup> refused = new ArrayList<>();
		Set<ShardId> shards;
		synchronized (this.lock) {
			this.retired = true;
			this.progress.cancel();
			refused.addAll(this.inFlight);
			refused.addAll(this.queue);
			this.inFlight = List.of();
			this.queue.clear();
			this.bufferedBytes = 0;
			this.inFlightSince = null;
			shards = new TreeSet<>(this.fold.openEpochs().keySet());
			shards.addAll(this.fold.shardsWithPrograms());
		}
		logger.atSevere()
			.log("%s stopped: its records expired before they were checked for seals", this.incarnation.ledgerStream());
		this.sealListeners.forEach((listener) -> listener.accept(shards));
		refused.forEach((group) -> group.done()
			.completeExceptionally(
					CallFailure.mayHaveRun(ErrorCode.NOT_OWNER, "the ledger could not be checked for seals")));
	}

	private static CallFailure notOwner() {
		return CallFailure.notRun(ErrorCode.NOT_OWNER, "another daemon has taken the shard over");
	}

}

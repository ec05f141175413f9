package org.hemlockgw.daemon.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerCodec;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Seal;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.core.platform.LogService;

/**
 * Seals and reads the ledgers of predecessors. Log calls are repeated until they succeed.
 */
public final class LedgerReader {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int PAGE_RECORDS = 256;

	private final LogService log;

	private final LedgerCodec codec;

	private final LedgerSettings settings;

	private final ScheduledExecutorService scheduler;

	private final AtomicLong sealSequence = new AtomicLong();

	public LedgerReader(LogService log, LedgerCodec codec, LedgerSettings settings,
			ScheduledExecutorService scheduler) {
		this.log = log;
		this.codec = codec;
		this.settings = settings;
		this.scheduler = scheduler;
	}

	/**
	 * Seals shards in a predecessor's ledger. A seal may be appended more than once; the
	 * first one counts.
	 * @param predecessor whose ledger
	 * @param epochs epochs of the claim by shard
	 * @param by the claimant
	 * @return offset of a seal
	 */
	public CompletableFuture<Long> seal(Incarnation predecessor, Map<ShardId, Long> epochs, Incarnation by) {
		LedgerBatch batch = new LedgerBatch(by.id(), this.sealSequence.getAndIncrement(), 0, seals(epochs, by.id()));
		byte[] data = this.codec.encode(batch);
		return Retry.untilSuccess(() -> this.log.append(predecessor.ledgerStream(), data), this.settings,
				this.scheduler);
	}

	/**
	 * Folds a ledger from its last checkpoint.
	 * @param predecessor whose ledger
	 * @param end offset of the seal
	 * @param fold receives the batches ahead of the seal
	 * @return completes after the last batch
	 */
	public CompletableFuture<Void> read(Incarnation predecessor, long end, LedgerState fold) {
		return checkpointOffset(predecessor, end, end).thenCompose((from) -> {
			fold.startLedger(predecessor.id());
			return readPages(predecessor, from, from, end, fold);
		});
	}

	private static List<LedgerRecord> seals(Map<ShardId, Long> epochs, String by) {
		List<LedgerRecord> seals = new ArrayList<>();
		byEpoch(epochs).forEach((epoch, shards) -> seals.add(new Seal(shards, epoch, by)));
		return seals;
	}

	static Map<Long, Set<ShardId>> byEpoch(Map<ShardId, Long> epochs) {
		Map<Long, Set<ShardId>> byEpoch = new TreeMap<>();
		epochs.forEach((shard, epoch) -> byEpoch.computeIfAbsent(epoch, (e) -> new TreeSet<>()).add(shard));
		return byEpoch;
	}

	// The last batch of the writer ahead of the seal says where to start. Seals of other
	// claimants may lie behind it.
	private CompletableFuture<Long> checkpointOffset(Incarnation predecessor, long before, long end) {
		if (before <= 0) {
			return CompletableFuture.completedFuture(0L);
		}
		long from = Math.max(0, before - PAGE_RECORDS);
		return page(predecessor, from, (int) (before - from)).thenCompose((page) -> {
			long offset = -1;
			for (LogRecord record : page.records()) {
				if (record.offset() < before) {
					LedgerBatch batch = decode(predecessor, record);
					if (batch.writer().equals(predecessor.id())) {
						offset = Math.max(offset, batch.checkpointOffset());
					}
				}
			}
			if (offset >= 0) {
				return CompletableFuture.completedFuture(offset);
			}
			if (page.firstOffset() >= from) {
				return CompletableFuture.completedFuture(Math.min(page.firstOffset(), end));
			}
			return checkpointOffset(predecessor, from, end);
		});
	}

	private CompletableFuture<Void> readPages(Incarnation predecessor, long start, long from, long end,
			LedgerState fold) {
		if (from >= end) {
			return CompletableFuture.completedFuture(null);
		}
		return page(predecessor, from, PAGE_RECORDS).thenCompose((page) -> {
			if (from == start && page.firstOffset() > from) {
				logger.atSevere()
					.log("records %d to %d of %s have expired before their take-over", from, page.firstOffset(),
							predecessor.ledgerStream());
			}
			long next = Math.max(from, page.firstOffset());
			for (LogRecord record : page.records()) {
				if (record.offset() < end) {
					fold.apply(decode(predecessor, record));
				}
				next = record.offset() + 1;
			}
			return readPages(predecessor, start, next, end, fold);
		});
	}

	private CompletableFuture<LogPage> page(Incarnation predecessor, long from, int max) {
		return Retry.untilSuccess(() -> this.log.read(predecessor.ledgerStream(), from, max, Duration.ZERO),
				this.settings, this.scheduler);
	}

	private LedgerBatch decode(Incarnation predecessor, LogRecord record) {
		try {
			return this.codec.decode(record.data());
		}
		catch (IllegalArgumentException ex) {
			logger.atSevere().withCause(ex).log("record %d of %s skipped", record.offset(), predecessor.ledgerStream());
			return new LedgerBatch("", 0, 0, List.of());
		}
	}

}

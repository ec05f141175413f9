package org.hemlockgw.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlRecord.TakeOverCompleted;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.ControlStreamWriter;
import org.hemlockgw.core.control.Ownership;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.daemon.ledger.LedgerReader;
import org.hemlockgw.daemon.ledger.LedgerWriter;

/**
 * Take-overs in progress. Guarded by the controller's lock.
 */
final class TakeOvers {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final LedgerReader reader;

	private final ControlStreamWriter control;

	private final Object lock;

	private final Runnable onProgress;

	private final Map<ShardId, TakeOver> byShard = new HashMap<>();

	TakeOvers(LedgerReader reader, ControlStreamWriter control, Object lock, Runnable onProgress) {
		this.reader = reader;
		this.control = control;
		this.lock = lock;
		this.onProgress = onProgress;
	}

	/**
	 * Starts the take-over of shards that were claimed and are not served yet. Shards
	 * with the same predecessors share their reads.
	 * @param state control state
	 * @param self the own incarnation
	 * @param writer its ledger
	 */
	void start(ControlState state, Incarnation self, LedgerWriter writer) {
		Map<List<Incarnation>, Map<ShardId, Long>> groups = new HashMap<>();
		state.shards().forEach((shard, holder) -> {
			boolean claimed = self.equals(holder.incarnation()) && !holder.ready();
			if (claimed && !this.byShard.containsKey(shard)) {
				groups.computeIfAbsent(holder.unsealed(), (list) -> new TreeMap<>()).put(shard, holder.epoch());
			}
		});
		groups.forEach((predecessors, epochs) -> {
			Map<ShardId, Long> firstEpochs = new TreeMap<>();
			epochs.keySet()
				.forEach((shard) -> firstEpochs.put(shard, state.shardOwnership(shard).firstUnsealedEpoch()));
			start(predecessors, epochs, firstEpochs, writer);
		});
	}

	/**
	 * Appends the completion of take-overs whose checkpoint is durable.
	 * @param state control state
	 * @param self the own incarnation
	 */
	void complete(ControlState state, Incarnation self) {
		for (TakeOver takeOver : Set.copyOf(this.byShard.values())) {
			if (takeOver.written()) {
				takeOver.completion()
					.tryAppend(state.offset(),
							() -> this.control.append(new TakeOverCompleted(self, takeOver.epochs())));
			}
		}
	}

	/**
	 * Removes take-overs whose completion was read back.
	 * @param state control state
	 * @return programs by shard
	 */
	Map<ShardId, Map<ProgramId, ProgramRecord>> removeCompleted(ControlState state) {
		Map<ShardId, Map<ProgramId, ProgramRecord>> completed = new TreeMap<>();
		for (Map.Entry<ShardId, TakeOver> entry : this.byShard.entrySet()) {
			ShardId shard = entry.getKey();
			if (state.shardOwnership(shard).ready() && entry.getValue().written()) {
				completed.put(shard, entry.getValue().programs(shard));
			}
		}
		this.byShard.keySet().removeAll(completed.keySet());
		return completed;
	}

	/**
	 * Abandons take-overs of which a shard is no longer held under the claim.
	 * @param state control state
	 * @param self the own incarnation
	 */
	void abandonLost(ControlState state, Incarnation self) {
		for (Map.Entry<ShardId, TakeOver> entry : List.copyOf(this.byShard.entrySet())) {
			Ownership holder = state.shardOwnership(entry.getKey());
			if (!self.equals(holder.incarnation()) || holder.epoch() != entry.getValue().epoch(entry.getKey())) {
				abandon(entry.getKey());
			}
		}
	}

	void abandon(ShardId shard) {
		TakeOver takeOver = this.byShard.get(shard);
		if (takeOver != null) {
			abandon(takeOver);
		}
	}

	void abandonAll() {
		Set.copyOf(this.byShard.values()).forEach(this::abandon);
	}

	private void abandon(TakeOver takeOver) {
		takeOver.cancel();
		this.byShard.values().removeIf((other) -> other == takeOver);
	}

	private void start(List<Incarnation> predecessors, Map<ShardId, Long> epochs, Map<ShardId, Long> firstEpochs,
			LedgerWriter writer) {
		TakeOver takeOver = new TakeOver(epochs, firstEpochs, predecessors, writer, this.reader, new Gate(this.lock));
		epochs.keySet().forEach((shard) -> this.byShard.put(shard, takeOver));
		takeOver.run().whenComplete((done, thrown) -> {
			if (thrown == null) {
				this.onProgress.run();
				return;
			}
			// The next tick starts it again if the claim still stands.
			logger.atWarning().log("take-over of %d shards failed: %s", epochs.size(), thrown.getMessage());
			synchronized (this.lock) {
				abandon(takeOver);
			}
		});
	}

}

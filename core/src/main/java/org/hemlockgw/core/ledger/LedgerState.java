package org.hemlockgw.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerRecord.CallEnded;
import org.hemlockgw.core.ledger.LedgerRecord.Charged;
import org.hemlockgw.core.ledger.LedgerRecord.Checkpoint;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Ended;
import org.hemlockgw.core.ledger.LedgerRecord.EpochOpened;
import org.hemlockgw.core.ledger.LedgerRecord.Granted;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.OfProgram;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Seal;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;

/**
 * Folds the batches of ledgers, in the order of their offsets, into program states.
 * Several ledgers are folded one after the other, the oldest first. Not thread-safe.
 */
public final class LedgerState {

	/** First epoch that counts by shard, or {@code null} for all shards and epochs. */
	private final @Nullable Map<ShardId, Long> firstEpochs;

	private final Map<ProgramId, MutableProgramState> programs = new LinkedHashMap<>();

	private final Map<ShardId, Long> openEpochs = new HashMap<>();

	private final Map<ShardId, Long> sealEpochs = new HashMap<>();

	private final Map<ShardId, Long> statedEpochs = new HashMap<>();

	private String writer = "";

	private long lastSequence = -1;

	private LedgerState(@Nullable Map<ShardId, Long> firstEpochs) {
		this.firstEpochs = firstEpochs;
	}

	/**
	 * Creates a fold of some shards.
	 * @param firstEpochs epoch of the last completed take-over by shard; a ledger may
	 * still hold records of earlier epochs, which are out of date
	 * @return the fold
	 */
	public static LedgerState ofShards(Map<ShardId, Long> firstEpochs) {
		return new LedgerState(Map.copyOf(firstEpochs));
	}

	public static LedgerState ofAllShards() {
		return new LedgerState(null);
	}

	/**
	 * Starts with the next ledger.
	 * @param incarnationId incarnation identifier of its writer
	 */
	public void startLedger(String incarnationId) {
		this.writer = incarnationId;
		this.lastSequence = -1;
		this.openEpochs.clear();
		this.sealEpochs.clear();
		this.statedEpochs.clear();
	}

	/**
	 * Applies the next batch of the ledger.
	 * @param batch the batch
	 * @return whether it counts; {@code false} for a batch appended twice
	 */
	public boolean apply(LedgerBatch batch) {
		boolean own = batch.writer().equals(this.writer);
		if (own) {
			// A writer appends a batch only after the one before it is settled, so a
			// lower number is always a repetition that arrived late.
			if (batch.sequence() <= this.lastSequence) {
				return false;
			}
			this.lastSequence = batch.sequence();
		}
		for (LedgerRecord record : batch.records()) {
			if (record instanceof Seal seal) {
				seal.shards().forEach((shard) -> this.sealEpochs.merge(shard, seal.epoch(), Math::max));
			}
			else if (own && record instanceof EpochOpened opened) {
				openEpoch(opened);
			}
			else if (own && record instanceof OfProgram ofProgram) {
				applyToProgram(ofProgram);
			}
		}
		return true;
	}

	/**
	 * Tells whether further records of a shard are void.
	 * @param shard the shard
	 * @return true after a seal whose epoch is above that of the writer
	 */
	public boolean isSealed(ShardId shard) {
		long seal = this.sealEpochs.getOrDefault(shard, 0L);
		return seal > this.openEpochs.getOrDefault(shard, 0L);
	}

	/**
	 * Returns the epochs that the ledger's writer has opened.
	 * @return epoch by shard
	 */
	public Map<ShardId, Long> openEpochs() {
		return Map.copyOf(this.openEpochs);
	}

	/**
	 * Tells whether the ledger holds the whole state of a shard, as it does not between
	 * the opening of an epoch and the checkpoint of its take-over.
	 * @param shard the shard
	 * @return true when a reader needs no earlier ledger for it
	 */
	public boolean hasFullState(ShardId shard) {
		return this.statedEpochs.getOrDefault(shard, 0L).equals(this.openEpochs.getOrDefault(shard, 0L));
	}

	/**
	 * Returns the epoch of the last statement of a shard's whole state.
	 * @param shard the shard
	 * @return the epoch, or 0 before the first
	 */
	public long fullStateEpoch(ShardId shard) {
		return this.statedEpochs.getOrDefault(shard, 0L);
	}

	/**
	 * Tells whether a sealed shard still has programs here. A writer must then keep the
	 * records ahead of the seal readable for the successor.
	 * @return true until the sealed shards are forgotten
	 */
	public boolean hasSealedPrograms() {
		return this.programs.keySet().stream().anyMatch((id) -> isSealed(id.shard()));
	}

	/**
	 * Returns the state of all programs.
	 * @return by program, in the order of first records
	 */
	public Map<ProgramId, ProgramRecord> programs() {
		Map<ProgramId, ProgramRecord> all = new LinkedHashMap<>();
		this.programs.forEach((id, program) -> all.put(id, program.toRecord()));
		return all;
	}

	/**
	 * Returns the state of all programs as a successor may use it: unsettled grants count
	 * as spent, and open non-idempotent calls may have run. The fold itself changes too.
	 * @return by program, in the order of first records
	 */
	public Map<ProgramId, ProgramRecord> settleForTakeOver() {
		for (MutableProgramState program : this.programs.values()) {
			program.closeIntents();
			if (program.running()) {
				program.settleGrant();
			}
		}
		return programs();
	}

	/**
	 * Forgets programs of some shards, after another ledger holds them.
	 * @param gone the shards
	 */
	public void removeShards(Set<ShardId> gone) {
		this.programs.keySet().removeIf((id) -> gone.contains(id.shard()));
		this.openEpochs.keySet().removeAll(gone);
		this.statedEpochs.keySet().removeAll(gone);
	}

	/**
	 * Forgets programs that ended long ago.
	 * @param before those with no record since this time are forgotten
	 */
	public void removeEndedBefore(Instant before) {
		this.programs.values().removeIf((program) -> !program.running() && program.lastActivity().isBefore(before));
	}

	/**
	 * Returns the shards that have programs.
	 * @return the shards
	 */
	public Set<ShardId> shardsWithPrograms() {
		Set<ShardId> found = new TreeSet<>();
		this.programs.keySet().forEach((id) -> found.add(id.shard()));
		return found;
	}

	/**
	 * Returns the programs of some shards.
	 * @param wanted the shards
	 * @return by program
	 */
	public Map<ProgramId, ProgramRecord> programs(Set<ShardId> wanted) {
		Map<ProgramId, ProgramRecord> found = new LinkedHashMap<>();
		this.programs.forEach((id, program) -> {
			if (wanted.contains(id.shard())) {
				found.put(id, program.toRecord());
			}
		});
		return found;
	}

	/**
	 * Returns a checkpoint record of each program.
	 * @param programs the programs
	 * @return records by shard
	 */
	public static Map<ShardId, List<OfProgram>> checkpoints(Map<ProgramId, ProgramRecord> programs) {
		Map<ShardId, List<OfProgram>> byShard = new TreeMap<>();
		programs.forEach((id, state) -> byShard.computeIfAbsent(id.shard(), (s) -> new ArrayList<>())
			.add(new Checkpoint(id, state)));
		return byShard;
	}

	private void openEpoch(EpochOpened opened) {
		Set<ShardId> fresh = new HashSet<>();
		for (ShardId shard : opened.shards()) {
			this.openEpochs.put(shard, opened.epoch());
			if (opened.stateFollows() && counts(shard)) {
				fresh.add(shard);
				this.statedEpochs.put(shard, opened.epoch());
			}
		}
		this.programs.keySet().removeIf((id) -> fresh.contains(id.shard()));
	}

	private boolean counts(ShardId shard) {
		if (this.firstEpochs == null) {
			return !isSealed(shard);
		}
		Long first = this.firstEpochs.get(shard);
		return first != null && this.openEpochs.getOrDefault(shard, 0L) >= first && !isSealed(shard);
	}

	private void applyToProgram(OfProgram record) {
		ShardId shard = record.program().shard();
		if (!counts(shard)) {
			return;
		}
		if (record instanceof Checkpoint checkpoint) {
			this.programs.put(checkpoint.program(), new MutableProgramState(checkpoint.state()));
		}
		else if (record instanceof Opened opened) {
			open(opened);
		}
		else {
			MutableProgramState program = this.programs.get(record.program());
			if (program != null) {
				applyTo(program, record);
			}
		}
	}

	private void open(Opened opened) {
		MutableProgramState known = this.programs.get(opened.program());
		if (known != null && known.running()) {
			return;
		}
		long budget = Math.max(opened.budget(), 0);
		if (parentId(opened.program()) != null) {
			// Without a running parent there is no budget to take it from.
			MutableProgramState parent = parentOf(opened.program());
			budget = (parent != null && parent.running()) ? parent.settle(budget) : 0;
		}
		this.programs.put(opened.program(), new MutableProgramState(opened, budget));
	}

	private void applyTo(MutableProgramState program, OfProgram record) {
		if (record instanceof Granted grant) {
			program.grant(grant.granted());
		}
		else if (record instanceof Intent intent) {
			program.intent(intent);
		}
		else if (record instanceof Dispatched attempt) {
			program.dispatched(attempt);
		}
		else if (record instanceof TurnCompleted turn) {
			charge(turn.program(), program, program.turnCompleted(turn));
		}
		else if (record instanceof CallEnded call) {
			program.callEnded(call);
		}
		else if (record instanceof Charged charged) {
			program.failed(charged.requestId());
			charge(charged.program(), program, charged.tokens());
		}
		else if (record instanceof Ended ended && program.running()) {
			program.end(ended.state(), ended.at());
			refund(parentId(ended.program()), program.unspent());
		}
	}

	// An ended program has returned its unspent budget, so what a late call of it used is
	// charged to its parent as well.
	private long charge(ProgramId id, MutableProgramState program, long tokens) {
		MutableProgramState parent = parentOf(id);
		ProgramId parentId = parentId(id);
		if (program.running() || parent == null || parentId == null) {
			return program.settle(tokens);
		}
		return program.settle(charge(parentId, parent, Math.min(tokens, program.unspent())));
	}

	// An ended receiver passes the budget on because it can not spend it.
	private void refund(@Nullable ProgramId to, long tokens) {
		MutableProgramState program = (to != null) ? this.programs.get(to) : null;
		if (to == null || program == null || tokens <= 0) {
			return;
		}
		program.refund(tokens);
		if (!program.running()) {
			refund(parentId(to), tokens);
		}
	}

	private @Nullable MutableProgramState parentOf(ProgramId id) {
		ProgramId parent = parentId(id);
		return (parent != null) ? this.programs.get(parent) : null;
	}

	private static @Nullable ProgramId parentId(ProgramId id) {
		int dot = id.name().lastIndexOf('.');
		return (dot < 0) ? null : new ProgramId(id.account(), id.name().substring(0, dot));
	}

}

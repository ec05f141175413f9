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
 * Program states derived from ledgers by applying their batches in offset order. Several
 * ledgers are applied one after another, the oldest first. Not thread-safe.
 */
public final class LedgerState {

	/** First valid epoch by shard, or {@code null} to accept all shards and epochs. */
	private final @Nullable Map<ShardId, Long> firstEpochs;

	private final Map<ProgramId, MutableProgramState> programs = new LinkedHashMap<>();

	private final Map<ShardId, Long> openEpochs = new HashMap<>();

	private final Map<ShardId, Long> sealEpochs = new HashMap<>();

	private final Map<ShardId, Long> fullStateEpochs = new HashMap<>();

	private String writer = "";

	private long lastSequence = -1;

	private LedgerState(@Nullable Map<ShardId, Long> firstEpochs) {
		this.firstEpochs = firstEpochs;
	}

	/**
	 * Creates a state that contains only the given shards.
	 * @param firstEpochs epoch of the last completed takeover by shard; records of
	 * earlier epochs that a ledger still contains are ignored as outdated
	 * @return the empty state
	 */
	public static LedgerState ofShards(Map<ShardId, Long> firstEpochs) {
		return new LedgerState(Map.copyOf(firstEpochs));
	}

	public static LedgerState ofAllShards() {
		return new LedgerState(null);
	}

	/**
	 * Starts the next ledger.
	 * @param incarnationId incarnation identifier of its writer
	 */
	public void startLedger(String incarnationId) {
		this.writer = incarnationId;
		this.lastSequence = -1;
		this.openEpochs.clear();
		this.sealEpochs.clear();
		this.fullStateEpochs.clear();
	}

	/**
	 * Applies the next batch of the ledger.
	 * @param batch the batch
	 * @return whether the batch was applied; {@code false} for a duplicate
	 */
	public boolean apply(LedgerBatch batch) {
		boolean byWriter = batch.writer().equals(this.writer);
		if (byWriter) {
			// A writer appends a batch only after the previous one is confirmed, so a
			// batch with a lower number is always a late duplicate.
			if (batch.sequence() <= this.lastSequence) {
				return false;
			}
			this.lastSequence = batch.sequence();
		}
		for (LedgerRecord record : batch.records()) {
			if (record instanceof Seal seal) {
				seal.shards().forEach((shard) -> this.sealEpochs.merge(shard, seal.epoch(), Math::max));
			}
			else if (byWriter && record instanceof EpochOpened opened) {
				openEpoch(opened);
			}
			else if (byWriter && record instanceof OfProgram ofProgram) {
				applyToProgram(ofProgram);
			}
		}
		return true;
	}

	/**
	 * Returns whether further records of a shard are void.
	 * @param shard the shard
	 * @return {@code true} after a seal whose epoch is higher than that of the writer
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
	 * Returns whether the ledger contains the full state of a shard. It does not between
	 * the opening of an epoch and the checkpoint that completes the takeover.
	 * @param shard the shard
	 * @return {@code true} if a reader needs no earlier ledger for the shard
	 */
	public boolean hasFullState(ShardId shard) {
		return this.fullStateEpochs.getOrDefault(shard, 0L).equals(this.openEpochs.getOrDefault(shard, 0L));
	}

	/**
	 * Returns the epoch of the last checkpoint of the full state of a shard.
	 * @param shard the shard
	 * @return the epoch, or 0 if there is none yet
	 */
	public long fullStateEpoch(ShardId shard) {
		return this.fullStateEpochs.getOrDefault(shard, 0L);
	}

	/**
	 * Returns whether a sealed shard still has programs in this ledger. If so, the writer
	 * must keep the records before the seal readable for the successor.
	 * @return {@code true} until the sealed shards are removed
	 */
	public boolean hasSealedPrograms() {
		return this.programs.keySet().stream().anyMatch((id) -> isSealed(id.shard()));
	}

	/**
	 * Returns the state of all programs.
	 * @return states by program, in the order of their first records
	 */
	public Map<ProgramId, ProgramRecord> programs() {
		Map<ProgramId, ProgramRecord> all = new LinkedHashMap<>();
		this.programs.forEach((id, program) -> all.put(id, program.toRecord()));
		return all;
	}

	/**
	 * Prepares all programs for a takeover and returns their states: unsettled grants are
	 * settled as spent, and open non-idempotent calls get the verdict
	 * {@code MAY_HAVE_RUN}. Modifies this object.
	 * @return states by program, in the order of their first records
	 */
	public Map<ProgramId, ProgramRecord> settleForTakeOver() {
		for (MutableProgramState program : this.programs.values()) {
			program.closeOpenIntents();
			if (program.isRunning()) {
				program.settleGrant();
			}
		}
		return programs();
	}

	/**
	 * Removes the programs of some shards after another ledger contains them.
	 * @param removed the shards
	 */
	public void removeShards(Set<ShardId> removed) {
		this.programs.keySet().removeIf((id) -> removed.contains(id.shard()));
		this.openEpochs.keySet().removeAll(removed);
		this.fullStateEpochs.keySet().removeAll(removed);
	}

	/**
	 * Removes ended programs whose last record is old.
	 * @param before ended programs without a record since this time are removed
	 */
	public void removeEndedBefore(Instant before) {
		this.programs.values().removeIf((program) -> !program.isRunning() && program.lastActivity().isBefore(before));
	}

	/**
	 * Returns the shards that contain programs.
	 * @return the shards in ascending order
	 */
	public Set<ShardId> shardsWithPrograms() {
		Set<ShardId> found = new TreeSet<>();
		this.programs.keySet().forEach((id) -> found.add(id.shard()));
		return found;
	}

	/**
	 * Returns the states of the programs of some shards.
	 * @param shards the shards
	 * @return states by program
	 */
	public Map<ProgramId, ProgramRecord> programs(Set<ShardId> shards) {
		Map<ProgramId, ProgramRecord> found = new LinkedHashMap<>();
		this.programs.forEach((id, program) -> {
			if (shards.contains(id.shard())) {
				found.put(id, program.toRecord());
			}
		});
		return found;
	}

	/**
	 * Creates a checkpoint record for each program.
	 * @param programs states by program
	 * @return checkpoint records by shard
	 */
	public static Map<ShardId, List<OfProgram>> checkpoints(Map<ProgramId, ProgramRecord> programs) {
		Map<ShardId, List<OfProgram>> byShard = new TreeMap<>();
		programs.forEach((id, state) -> byShard.computeIfAbsent(id.shard(), (s) -> new ArrayList<>())
			.add(new Checkpoint(id, state)));
		return byShard;
	}

	private void openEpoch(EpochOpened opened) {
		Set<ShardId> restarted = new HashSet<>();
		for (ShardId shard : opened.shards()) {
			this.openEpochs.put(shard, opened.epoch());
			if (opened.stateFollows() && isValid(shard)) {
				restarted.add(shard);
				this.fullStateEpochs.put(shard, opened.epoch());
			}
		}
		this.programs.keySet().removeIf((id) -> restarted.contains(id.shard()));
	}

	private boolean isValid(ShardId shard) {
		if (this.firstEpochs == null) {
			return !isSealed(shard);
		}
		Long first = this.firstEpochs.get(shard);
		return first != null && this.openEpochs.getOrDefault(shard, 0L) >= first && !isSealed(shard);
	}

	private void applyToProgram(OfProgram record) {
		ShardId shard = record.program().shard();
		if (!isValid(shard)) {
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
		MutableProgramState existing = this.programs.get(opened.program());
		if (existing != null && existing.isRunning()) {
			return;
		}
		long budget = Math.max(opened.budget(), 0);
		if (parentId(opened.program()) != null) {
			// A child without a running parent gets no budget.
			MutableProgramState parent = parentOf(opened.program());
			budget = (parent != null && parent.isRunning()) ? parent.settle(budget) : 0;
		}
		this.programs.put(opened.program(), new MutableProgramState(opened, budget));
	}

	private void applyTo(MutableProgramState program, OfProgram record) {
		if (record instanceof Granted grant) {
			program.grant(grant.granted());
		}
		else if (record instanceof Intent intent) {
			program.applyIntent(intent);
		}
		else if (record instanceof Dispatched attempt) {
			program.applyDispatched(attempt);
		}
		else if (record instanceof TurnCompleted turn) {
			charge(turn.program(), program, program.applyTurnCompleted(turn));
		}
		else if (record instanceof CallEnded call) {
			program.applyCallEnded(call);
		}
		else if (record instanceof Charged charged) {
			program.removeFailedCall(charged.requestId());
			charge(charged.program(), program, charged.tokens());
		}
		else if (record instanceof Ended ended && program.isRunning()) {
			program.end(ended.state(), ended.at());
			refund(parentId(ended.program()), program.unspent());
		}
	}

	// An ended program has already returned its unspent budget, so tokens used by a
	// late call are also charged to its parent.
	private long charge(ProgramId id, MutableProgramState program, long tokens) {
		MutableProgramState parent = parentOf(id);
		ProgramId parentId = parentId(id);
		if (program.isRunning() || parent == null || parentId == null) {
			return program.settle(tokens);
		}
		return program.settle(charge(parentId, parent, Math.min(tokens, program.unspent())));
	}

	// A receiver that has ended cannot spend the budget and passes it to its parent.
	private void refund(@Nullable ProgramId receiverId, long tokens) {
		MutableProgramState program = (receiverId != null) ? this.programs.get(receiverId) : null;
		if (receiverId == null || program == null || tokens <= 0) {
			return;
		}
		program.refund(tokens);
		if (!program.isRunning()) {
			refund(parentId(receiverId), tokens);
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

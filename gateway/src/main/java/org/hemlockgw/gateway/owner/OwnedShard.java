package org.hemlockgw.gateway.owner;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.core.turn.ProgramBudget;
import org.hemlockgw.core.turn.TurnRecord;
import org.hemlockgw.core.turn.TurnShard;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Shard that this daemon holds. It is ready only after the previous writer is fenced and
 * all records are loaded.
 */
final class OwnedShard {

	private static final Logger logger = LoggerFactory.getLogger(OwnedShard.class);

	/** Delay in milliseconds before a failed read is retried. */
	private static final long READ_RETRY_DELAY_MS = 100;

	/**
	 * Additional time for which turns are kept, because the clocks of VMs differ by at
	 * most a few seconds.
	 */
	private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(10);

	private final EventLoop loop;

	private final StateStore store;

	private final InstantSource clock;

	private final int number;

	private final ShardWriter writer;

	private final TurnShard state = new TurnShard();

	private boolean ready;

	private boolean confirmed = true;

	private boolean relinquished;

	OwnedShard(EventLoop loop, StateStore store, InstantSource clock, int number, ShardWriter writer) {
		this.loop = loop;
		this.store = store;
		this.clock = clock;
		this.number = number;
		this.writer = writer;
	}

	/**
	 * Acquires the shard: fences the previous writer, then loads all records.
	 * @param onAcquired called when the shard is ready
	 */
	void acquire(Runnable onAcquired) {
		this.writer.open((stored) -> {
			if (stored) {
				read("", onAcquired);
			}
		});
	}

	private void activate(Runnable onAcquired) {
		if (this.relinquished) {
			return;
		}
		this.ready = true;
		this.state.retainOpenChains();
		logger.atInfo()
			.addKeyValue(LogFields.SHARD, this.number)
			.addKeyValue(LogFields.EPOCH, this.writer.epoch())
			.addKeyValue(LogFields.TURNS, this.state.turnCount())
			.log("shard acquired");
		onAcquired.run();
	}

	int number() {
		return this.number;
	}

	long epoch() {
		return this.writer.epoch();
	}

	private void read(String after, Runnable onAcquired) {
		if (this.relinquished) {
			return;
		}
		this.store.readLatest(this.number, after).whenComplete((page, error) -> {
			if (error != null) {
				logger.atWarn()
					.addKeyValue(LogFields.SHARD, this.number)
					.addKeyValue(LogFields.REASON, error.getMessage())
					.log("failed to read a shard; retrying");
				this.loop.schedule(() -> read(after, onAcquired), READ_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
				return;
			}
			String lastKey = after;
			for (KeyedValue record : page.records()) {
				lastKey = record.key();
				add(record);
			}
			if (page.hasMore()) {
				read(lastKey, onAcquired);
				return;
			}
			activate(onAcquired);
		});
	}

	private void add(KeyedValue record) {
		try {
			ShardCodec.decode(record, this.state);
		}
		catch (IOException ex) {
			logger.warn("shard {}: skipping a damaged record: {}", this.number, String.valueOf(ex.getMessage()));
		}
	}

	boolean isReady() {
		return this.ready && !this.relinquished;
	}

	/**
	 * Returns whether all turns of the shard are loaded.
	 * @return false while another daemon may have held the shard in the meantime
	 */
	boolean isComplete() {
		return isReady() && this.confirmed;
	}

	/**
	 * Verifies with an append that no other daemon has held the shard since the last one;
	 * otherwise the store rejects the append.
	 */
	void confirmOwnership() {
		if (!isReady()) {
			return;
		}
		this.confirmed = false;
		this.writer.append(List.of(ShardCodec.CONFIRMATION), (stored) -> this.confirmed = stored);
	}

	int unacknowledgedCount() {
		return this.writer.unacknowledgedCount();
	}

	boolean isIdle() {
		return this.writer.isIdle();
	}

	/**
	 * Repeats the append in progress, because the store has become available again.
	 */
	void resend() {
		this.writer.resend();
	}

	void relinquish() {
		this.relinquished = true;
		this.writer.close();
	}

	@Nullable List<TurnRecord> findChain(String turn) {
		return this.state.findChain(turn);
	}

	/**
	 * Stores a chain that was found in another shard.
	 * @param chain turns, oldest first
	 */
	void importChain(List<TurnRecord> chain) {
		List<KeyedValue> records = new ArrayList<>();
		chain.forEach((turn) -> {
			this.state.add(turn);
			records.add(ShardCodec.encodeTurn(turn));
		});
		this.writer.append(records, (stored) -> logger.debug("chain of {} turns stored: {}", chain.size(), stored));
	}

	/**
	 * Returns whether a program has opened a turn before.
	 * @param program identifier of the program
	 * @return false for a new program
	 */
	boolean isProgramStarted(String program) {
		ProgramBudget budget = this.state.findBudget(program);
		return budget != null && budget.isUsed();
	}

	/**
	 * Reserves the tokens of a turn.
	 * @param request the turn
	 * @param stored called with whether the reservation is durable
	 * @return false if the remaining budget is too small for the turn
	 */
	boolean reserve(PeerMessage.OpenTurn request, Consumer<Boolean> stored) {
		// Retention begins when the turn ends, which is at its deadline at the latest.
		ProgramBudget budget = this.state.getOrCreateBudget(request.program(), this.clock.instant(),
				Duration.ofMillis(request.remainingMs()).plusMillis(request.retentionMs()));
		if (!budget.reserve(request.turn(), request.budgetTokens(),
				new ProgramBudget.Reservation(request.maxTokens(), request.parent()))) {
			return false;
		}
		if (request.parent() != null) {
			this.state.retainChain(request.parent(), budget.retainedUntil());
		}
		this.writer.append(List.of(ShardCodec.encodeBudget(request.program(), budget)), stored);
		return true;
	}

	/**
	 * Settles the tokens of a turn and, if its answer is complete, stores the turn.
	 * @param request the turn
	 * @param stored called with whether the records are durable
	 */
	void closeTurn(PeerMessage.CloseTurn request, Consumer<Boolean> stored) {
		TurnRecord turn = request.record();
		ProgramBudget budget = this.state.getOrCreateBudget(turn.program(), this.clock.instant(), turn.retention());
		if (!request.complete() || !this.state.contains(turn.id())) {
			budget.settle(turn.id(), request.deliveredTokens());
		}
		List<KeyedValue> records = new ArrayList<>();
		records.add(ShardCodec.encodeBudget(turn.program(), budget));
		if (request.complete()) {
			records.add(ShardCodec.encodeTurn(turn));
			this.writer.append(records, (done) -> {
				if (done) {
					this.state.add(turn);
				}
				stored.accept(done);
			});
			return;
		}
		this.writer.append(records, stored);
	}

	void removeExpired() {
		if (!isReady()) {
			return;
		}
		Instant now = this.clock.instant();
		TurnShard.Expired expired = this.state.expire(now, EXPIRY_MARGIN);
		List<KeyedValue> records = new ArrayList<>();
		expired.turns().forEach((id) -> records.add(ShardCodec.encodeTurnDeletion(id)));
		expired.programs().forEach((program) -> records.add(ShardCodec.encodeBudgetDeletion(program)));
		if (!records.isEmpty()) {
			this.writer.append(records, (stored) -> logger.debug("shard {}: {} expired records deleted: {}",
					this.number, records.size(), stored));
		}
	}

	int turnCount() {
		return this.state.turnCount();
	}

}

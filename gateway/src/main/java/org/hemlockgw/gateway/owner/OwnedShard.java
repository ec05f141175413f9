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
 * A shard that this daemon holds. It answers only after the earlier writer is fenced and
 * all records are read.
 */
final class OwnedShard {

	private static final Logger logger = LoggerFactory.getLogger(OwnedShard.class);

	/** Pause before a failed read is repeated, in milliseconds. */
	private static final long RETRY_MS = 100;

	/**
	 * Extra time that turns are kept, since clocks of VMs differ by some seconds at most.
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

	private boolean awaitingCopies;

	private boolean ended;

	OwnedShard(EventLoop loop, StateStore store, InstantSource clock, int number, ShardWriter writer) {
		this.loop = loop;
		this.store = store;
		this.clock = clock;
		this.number = number;
		this.writer = writer;
	}

	/**
	 * Takes the shard over.
	 * @param collect asks other daemons for copies that the store lacks
	 */
	void acquire(Consumer<Consumer<CopyManager.Collected>> collect) {
		this.writer.open((stored) -> {
			if (stored) {
				read("", () -> collect.accept(this::begin));
			}
		});
	}

	private void begin(CopyManager.Collected copies) {
		if (this.ended) {
			return;
		}
		this.ready = true;
		if (!copies.whole()) {
			this.awaitingCopies = true;
			this.loop.schedule(() -> this.awaitingCopies = false, KnownMembers.RETURN_MS, TimeUnit.MILLISECONDS);
		}
		int missing = merge(copies.records());
		logger.atInfo()
			.addKeyValue(LogFields.SHARD, this.number)
			.addKeyValue(LogFields.EPOCH, this.writer.epoch())
			.addKeyValue(LogFields.TURNS, this.state.turnCount())
			.addKeyValue(LogFields.RECORDS, missing)
			.addKeyValue(LogFields.ALL_ASKED, copies.whole())
			.log("shard is taken over");
	}

	/**
	 * Adds copies that another daemon has kept.
	 * @param copies records that may be missing
	 * @return false if the shard is not ready
	 */
	boolean addCopies(List<KeyedValue> copies) {
		if (!isReady()) {
			return false;
		}
		int missing = merge(copies);
		if (missing > 0) {
			logger.atInfo()
				.addKeyValue(LogFields.SHARD, this.number)
				.addKeyValue(LogFields.RECORDS, missing)
				.log("copies from another daemon are added");
		}
		return true;
	}

	long epoch() {
		return this.writer.epoch();
	}

	private int merge(List<KeyedValue> copies) {
		List<KeyedValue> missing = new ArrayList<>();
		TurnShard found = new TurnShard();
		copies.forEach((copy) -> add(copy, found));
		found.turns().forEach((turn) -> {
			if (!this.state.contains(turn.id())) {
				this.state.add(turn);
				missing.add(ShardCodec.encodeTurn(turn));
			}
		});
		found.budgets().forEach((program, budget) -> {
			ProgramBudget known = this.state.findBudget(program);
			// Spending only grows, so the larger one is the newer one.
			if (known == null || known.spent() + known.reserved() < budget.spent() + budget.reserved()) {
				this.state.restoreBudget(program, budget);
				missing.add(ShardCodec.encodeBudget(program, budget));
			}
		});
		if (!missing.isEmpty()) {
			this.writer.append(missing, (stored) -> logger.debug("copies of shard {} stored: {}", this.number, stored));
		}
		return missing.size();
	}

	private void read(String after, Runnable done) {
		if (this.ended) {
			return;
		}
		this.store.readLatest(this.number, after).whenComplete((page, error) -> {
			if (error != null) {
				logger.atWarn()
					.addKeyValue(LogFields.SHARD, this.number)
					.addKeyValue(LogFields.REASON, error.getMessage())
					.log("reading a shard failed and is repeated");
				this.loop.schedule(() -> read(after, done), RETRY_MS, TimeUnit.MILLISECONDS);
				return;
			}
			String last = after;
			for (KeyedValue record : page.records()) {
				last = record.key();
				add(record, this.state);
			}
			if (page.hasMore()) {
				read(last, done);
				return;
			}
			done.run();
		});
	}

	private void add(KeyedValue record, TurnShard target) {
		try {
			ShardCodec.decode(record, target);
		}
		catch (IOException ex) {
			logger.warn("shard {}: skipping a record: {}", this.number, String.valueOf(ex.getMessage()));
		}
	}

	boolean isReady() {
		return this.ready && !this.ended;
	}

	/**
	 * Tells whether all turns of the shard are here.
	 * @return false while another daemon may have held the shard meanwhile, or may have
	 * copies of its turns
	 */
	boolean isComplete() {
		return isReady() && this.confirmed && !this.awaitingCopies;
	}

	/**
	 * Finds out whether another daemon has held the shard since the last append: then the
	 * store refuses this one.
	 */
	void confirmOwnership() {
		if (!isReady()) {
			return;
		}
		this.confirmed = false;
		this.writer.append(List.of(ShardCodec.CONFIRMATION), (stored) -> this.confirmed = stored);
	}

	boolean isIdle() {
		return this.writer.isIdle();
	}

	/**
	 * Gives the shard up.
	 * @return records that the store may not have
	 */
	List<KeyedValue> relinquish() {
		this.ended = true;
		return this.writer.close();
	}

	@Nullable List<TurnRecord> findChain(String turn) {
		return this.state.findChain(turn);
	}

	/**
	 * Takes over a chain that another shard keeps.
	 * @param chain turns, the oldest first
	 */
	void importChain(List<TurnRecord> chain) {
		List<KeyedValue> records = new ArrayList<>();
		chain.forEach((turn) -> {
			this.state.add(turn);
			records.add(ShardCodec.encodeTurn(turn));
		});
		this.writer.append(records, (stored) -> logger.debug("chain of {} turns adopted: {}", chain.size(), stored));
	}

	/**
	 * Reserves the tokens of a turn.
	 * @param open the turn
	 * @param stored receives whether the reservation is durable
	 * @return false if the budget does not hold the turn
	 */
	boolean reserve(PeerMessage.OpenTurn open, Consumer<Boolean> stored) {
		ProgramBudget budget = this.state.getOrCreateBudget(open.program(), this.clock.instant(),
				Duration.ofMillis(open.retentionMs()));
		if (!budget.reserve(open.turn(), open.budget(), open.most())) {
			return false;
		}
		this.writer.append(List.of(ShardCodec.encodeBudget(open.program(), budget)), stored);
		return true;
	}

	/**
	 * Ends a turn.
	 * @param close the turn
	 * @param stored receives whether it is durable
	 */
	void closeTurn(PeerMessage.CloseTurn close, Consumer<Boolean> stored) {
		TurnRecord turn = close.record();
		ProgramBudget budget = this.state.getOrCreateBudget(turn.program(), this.clock.instant(), turn.retention());
		if (!close.whole() || !this.state.contains(turn.id())) {
			budget.settle(turn.id(), close.tokens());
		}
		List<KeyedValue> records = new ArrayList<>();
		records.add(ShardCodec.encodeBudget(turn.program(), budget));
		if (close.whole()) {
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
			this.writer.append(records,
					(stored) -> logger.debug("shard {}: {} records dropped: {}", this.number, records.size(), stored));
		}
	}

	int turnCount() {
		return this.state.turnCount();
	}

}

package org.hemlockgw.gateway.owner;

import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.quota.ClockReading;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Joins of this daemon to the store's group, which renew its membership and return its
 * shards.
 */
final class GroupJoins {

	private static final Logger logger = LoggerFactory.getLogger(GroupJoins.class);

	private final StateStore store;

	private final MemberName self;

	private final StoreHealth health;

	private final JoinSequence sequence;

	private final LongSupplier generation;

	private final Supplier<ClockReading> clock;

	private final BiConsumer<ShardAssignment, ClockReading> onAssigned;

	private boolean rejoinRequested;

	private boolean stopped;

	/**
	 * Creates the joins of a member.
	 * @param store the store
	 * @param self name of this daemon
	 * @param health notified of answers and failures
	 * @param sequence numbers of the joins
	 * @param generation returns the generation of the last assignment
	 * @param clock reads both clocks
	 * @param onAssigned receives the assignments with the times at which their joins were
	 * sent, unless a later one was received before
	 */
	GroupJoins(StateStore store, MemberName self, StoreHealth health, JoinSequence sequence, LongSupplier generation,
			Supplier<ClockReading> clock, BiConsumer<ShardAssignment, ClockReading> onAssigned) {
		this.store = store;
		this.self = self;
		this.health = health;
		this.sequence = sequence;
		this.generation = generation;
		this.clock = clock;
		this.onAssigned = onAssigned;
	}

	/**
	 * Joins now, or once the response to the last join has been received.
	 */
	void join() {
		this.health.logIfUnavailable();
		if (this.sequence.isPending()) {
			this.rejoinRequested = true;
			return;
		}
		send();
	}

	/**
	 * Joins if the store is unavailable. Does not wait for earlier joins, whose responses
	 * are probably lost.
	 */
	void probe() {
		if (this.health.isUnavailable()) {
			send();
		}
	}

	void stop() {
		this.stopped = true;
	}

	private void send() {
		if (this.stopped) {
			return;
		}
		long number = this.sequence.begin();
		this.rejoinRequested = false;
		ClockReading sent = this.clock.get();
		this.store.join(this.self.text(), this.generation.getAsLong())
			.whenComplete((assignment, error) -> handleJoined(number, sent, assignment, error));
	}

	private void handleJoined(long number, ClockReading sent, ShardAssignment assignment, @Nullable Throwable error) {
		if (error != null) {
			this.health.recordFailedJoin();
			logger.atWarn().addKeyValue(LogFields.REASON, error.getMessage()).log("failed to join the group");
		}
		else {
			this.health.recordAnswer();
		}
		if (!this.sequence.end(number)) {
			return;
		}
		if (error == null) {
			this.onAssigned.accept(assignment, sent);
		}
		if (this.rejoinRequested) {
			join();
		}
	}

}

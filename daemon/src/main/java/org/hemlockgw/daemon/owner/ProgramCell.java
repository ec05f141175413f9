package org.hemlockgw.daemon.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.budget.GrantTracker;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.ProgramSnapshot;

/**
 * One program of a shard. The state is read without locks; it is changed, and all other
 * fields are used, under the lock of the shard, so that records reach the ledger in the
 * order of the changes.
 */
final class ProgramCell {

	private final ShardSlot slot;

	private final AtomicReference<ProgramSnapshot> state;

	private final GrantTracker grants;

	private final Map<String, LiveCall> live = new HashMap<>();

	private final List<LiveCall> waiting = new ArrayList<>();

	private @Nullable LiveCall running;

	private boolean checkpointDue;

	private CompletableFuture<Void> opened = CompletableFuture.completedFuture(null);

	private CompletableFuture<Void> lastGrant = CompletableFuture.completedFuture(null);

	private CompletableFuture<Void> lastAppend = CompletableFuture.completedFuture(null);

	ProgramCell(ShardSlot slot, ProgramSnapshot state, long durableGrant) {
		this.slot = slot;
		this.state = new AtomicReference<>(state);
		this.grants = new GrantTracker(durableGrant);
	}

	ShardSlot slot() {
		return this.slot;
	}

	ProgramId id() {
		return state().id();
	}

	ProgramSnapshot state() {
		return Objects.requireNonNull(this.state.get());
	}

	void state(ProgramSnapshot next) {
		this.state.set(next);
	}

	GrantTracker grants() {
		return this.grants;
	}

	// Calls by request identifier whose callers still wait.
	Map<String, LiveCall> live() {
		return this.live;
	}

	// Calls that wait for their predecessor, in order of arrival.
	List<LiveCall> waiting() {
		return this.waiting;
	}

	@Nullable LiveCall running() {
		return this.running;
	}

	void running(@Nullable LiveCall call) {
		this.running = call;
	}

	// Whether a record was lost because the buffer was full.
	boolean checkpointDue() {
		return this.checkpointDue;
	}

	void checkpointDue(boolean due) {
		this.checkpointDue = due;
	}

	CompletableFuture<Void> opened() {
		return this.opened;
	}

	void opened(CompletableFuture<Void> append) {
		this.opened = append;
	}

	CompletableFuture<Void> lastGrant() {
		return this.lastGrant;
	}

	void lastGrant(CompletableFuture<Void> append) {
		this.lastGrant = append;
	}

	// The newest batch. Batches become durable in order.
	CompletableFuture<Void> lastAppend() {
		return this.lastAppend;
	}

	void lastAppend(CompletableFuture<Void> append) {
		this.lastAppend = append;
	}

}

package org.hemlockgw.daemon.owner;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;

/**
 * A shard that this daemon serves. Its monitor is the lock of its programs: at the target
 * size a shard has about 12 live programs.
 */
final class ShardSlot {

	private final ShardId shard;

	private final Map<ProgramId, ProgramCell> programs = new ConcurrentHashMap<>();

	private final AtomicInteger open = new AtomicInteger();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private volatile Phase phase = Phase.SERVING;

	ShardSlot(ShardId shard) {
		this.shard = shard;
	}

	Map<ProgramId, ProgramCell> programs() {
		return this.programs;
	}

	boolean serving() {
		return this.phase == Phase.SERVING;
	}

	boolean dropped() {
		return this.phase == Phase.DROPPED;
	}

	// Counts an operation as open.
	void enter() {
		this.open.incrementAndGet();
		if (!serving()) {
			exit();
			throw notOwner();
		}
	}

	void exit() {
		if (this.open.decrementAndGet() == 0 && !serving()) {
			this.drained.complete(null);
		}
	}

	CompletableFuture<Void> quiesce() {
		if (serving()) {
			this.phase = Phase.QUIESCING;
		}
		if (this.open.get() == 0) {
			this.drained.complete(null);
		}
		return this.drained.copy();
	}

	void drop() {
		this.phase = Phase.DROPPED;
	}

	CallFailure notOwner() {
		return CallFailure.notRun(ErrorCode.NOT_OWNER, "shard " + this.shard.value() + " is not served here");
	}

	private enum Phase {

		SERVING, QUIESCING, DROPPED

	}

}

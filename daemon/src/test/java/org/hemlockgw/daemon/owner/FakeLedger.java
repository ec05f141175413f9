package org.hemlockgw.daemon.owner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.ledger.Ledger;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.OfProgram;

/**
 * Ledger that makes records durable at once, holds them, or refuses them.
 */
final class FakeLedger implements Ledger {

	private final List<OfProgram> durable = new ArrayList<>();

	private final Deque<Map.Entry<List<OfProgram>, CompletableFuture<Void>>> held = new ArrayDeque<>();

	private Mode mode = Mode.DURABLE;

	private volatile boolean outage;

	private volatile double fill;

	@Override
	public synchronized CompletableFuture<Void> append(List<OfProgram> records) {
		switch (this.mode) {
			case DURABLE -> this.durable.addAll(records);
			case HELD -> {
				CompletableFuture<Void> append = new CompletableFuture<>();
				this.held.add(Map.entry(records, append));
				return append;
			}
			case VOID -> {
				return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.NOT_OWNER, "void"));
			}
			case FULL -> {
				return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, "full"));
			}
			default -> throw new IllegalStateException();
		}
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public boolean isLogUnavailable() {
		return this.outage;
	}

	@Override
	public double bufferFillRatio() {
		return this.fill;
	}

	synchronized void mode(Mode next) {
		this.mode = next;
	}

	void outage(boolean on, double bufferFill) {
		this.outage = on;
		this.fill = bufferFill;
		mode(on ? Mode.HELD : Mode.DURABLE);
		if (!on) {
			release();
		}
	}

	void release() {
		List<CompletableFuture<Void>> released = new ArrayList<>();
		synchronized (this) {
			while (!this.held.isEmpty()) {
				this.durable.addAll(this.held.peek().getKey());
				released.add(this.held.poll().getValue());
			}
		}
		released.forEach((append) -> append.complete(null));
	}

	synchronized <T extends LedgerRecord> List<T> records(Class<T> type) {
		return this.durable.stream().filter(type::isInstance).map(type::cast).toList();
	}

	enum Mode {

		DURABLE, VOID, FULL, HELD

	}

}

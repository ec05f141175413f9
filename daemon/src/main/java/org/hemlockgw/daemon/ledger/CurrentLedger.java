package org.hemlockgw.daemon.ledger;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.ledger.Ledger;
import org.hemlockgw.core.ledger.LedgerRecord.OfProgram;

/**
 * The ledger of the daemon's current incarnation. A new incarnation has a new writer.
 */
public final class CurrentLedger implements Ledger {

	private final Function<Incarnation, LedgerWriter> factory;

	private final AtomicReference<LedgerWriter> writer;

	public CurrentLedger(Incarnation first, Function<Incarnation, LedgerWriter> factory) {
		this.factory = factory;
		this.writer = new AtomicReference<>(factory.apply(first));
	}

	/**
	 * Replaces the writer; the earlier one takes no further records.
	 * @param next the new incarnation
	 * @return its writer
	 */
	public LedgerWriter renew(Incarnation next) {
		LedgerWriter created = this.factory.apply(next);
		Objects.requireNonNull(this.writer.getAndSet(created)).retire();
		return created;
	}

	public LedgerWriter writer() {
		return Objects.requireNonNull(this.writer.get());
	}

	@Override
	public CompletableFuture<Void> append(List<OfProgram> records) {
		return writer().append(records);
	}

	@Override
	public boolean isLogUnavailable() {
		return writer().isLogUnavailable();
	}

	@Override
	public double bufferFillRatio() {
		return writer().bufferFillRatio();
	}

}

package org.hemlockgw.gateway.owner;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Numbers the joins of a member, because responses may be lost or arrive in another
 * order.
 */
final class JoinSequence {

	private final LongSupplier nanoClock;

	private final long patienceNanos;

	private long begun;

	private long answered;

	private long begunNanos;

	/**
	 * Creates a sequence without joins.
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param patienceMs time in milliseconds after which the responses to a join are
	 * considered lost
	 */
	JoinSequence(LongSupplier nanoClock, long patienceMs) {
		this.nanoClock = nanoClock;
		this.patienceNanos = TimeUnit.MILLISECONDS.toNanos(patienceMs);
	}

	/**
	 * Returns whether a response to the last join is still expected.
	 * @return whether the next join should wait
	 */
	boolean isPending() {
		return this.answered < this.begun && this.nanoClock.getAsLong() - this.begunNanos < this.patienceNanos;
	}

	long begin() {
		this.begunNanos = this.nanoClock.getAsLong();
		return ++this.begun;
	}

	/**
	 * Records the response to a join.
	 * @param number number of the join
	 * @return false if a later join has been answered, so that the response may be out of
	 * date
	 */
	boolean end(long number) {
		if (number < this.answered) {
			return false;
		}
		this.answered = number;
		return true;
	}

}

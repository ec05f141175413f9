package org.hemlockgw.core.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.hemlockgw.core.account.RateLimit;
import org.hemlockgw.core.account.RateLimitBounds;

/**
 * Permits of one client account at its holder.
 */
final class AccountPermits {

	/**
	 * Periods in windows after the end of a confirmation in which a holder may use the
	 * share for unconfirmed holders.
	 */
	private static final int UNCONFIRMED_WINDOWS = 2;

	/** Level below which new programs may be denied, as a fraction of the capacity. */
	private static final double PRESSURE_FRACTION = 0.25;

	/** Maximum Retry-After in milliseconds; callers give up long before. */
	private static final long MAX_RETRY_AFTER_MS = 30_000;

	/**
	 * Maximum time in nanoseconds for which places are booked after the first one;
	 * callers of a flood that don't return would book them without end.
	 */
	private static final long MAX_BOOKED_NANOS = 5_000_000_000L;

	/** Minimum wait in nanoseconds for the limits that don't depend on the bucket. */
	private static final long MIN_WAIT_NANOS = 100_000_000;

	private final RateLimitBounds bounds;

	private RateLimit cap;

	private RateLimitShares shares;

	private final RefillingTokens bucket;

	private final RefillingTokens credits;

	private final RefillingTokens unconfirmed;

	private final ProgramAdmissions programs;

	// Grants of the last window that were not returned, with their times.
	private final Map<Long, Long> log = new LinkedHashMap<>();

	private final long emptyNanos;

	private long refilledNanos;

	private double unconfirmedGrants;

	private double confirmedSeconds;

	private long nextPlaceNanos;

	private long nextProgramPlaceNanos;

	private long deniedNanos;

	private boolean denied;

	/**
	 * Creates an account whose bucket was empty at some time and unused since.
	 * @param cap the cap
	 * @param bounds accuracy of the cap
	 * @param emptyNanos time at which the bucket was empty
	 */
	AccountPermits(RateLimit cap, RateLimitBounds bounds, long emptyNanos) {
		this.bounds = bounds;
		this.cap = cap;
		this.shares = RateLimitShares.of(cap, bounds);
		this.bucket = new RefillingTokens(this.shares.rate(), this.shares.capacity(), 0);
		this.credits = new RefillingTokens(creditRate(), this.shares.returns() / 2, 0);
		this.unconfirmed = new RefillingTokens(unconfirmedRate(), this.shares.unconfirmed() / 2, 0);
		this.programs = new ProgramAdmissions(this.shares.windowSeconds(), emptyNanos);
		this.emptyNanos = emptyNanos;
		this.refilledNanos = emptyNanos;
		resetPlaces();
	}

	private double creditRate() {
		return this.shares.returns() / 2 / this.shares.windowSeconds();
	}

	private double unconfirmedRate() {
		return this.shares.unconfirmed() / 2 / (this.shares.windowSeconds() * (1 + UNCONFIRMED_WINDOWS));
	}

	void restore(AccountLevel state, long nowNanos) {
		this.refilledNanos = nowNanos;
		this.bucket.add(state.level());
		this.credits.add(state.credits());
	}

	AccountLevel state(String account) {
		return new AccountLevel(account, Math.nextDown((float) this.bucket.level()),
				Math.nextDown((float) this.credits.level()));
	}

	/**
	 * Refills all tokens.
	 * @param nowNanos current time
	 * @param confirmed time for which the holder's membership has been confirmed since it
	 * started, in seconds
	 */
	void refill(long nowNanos, double confirmed) {
		long startEnd = this.emptyNanos + (long) (this.shares.windowSeconds() * 1e9);
		double startSeconds = Math.max(0, Math.min(nowNanos, startEnd) - this.refilledNanos) / 1e9;
		double seconds = Math.max(0, nowNanos - this.refilledNanos) / 1e9;
		this.refilledNanos = Math.max(this.refilledNanos, nowNanos);
		this.bucket.refill(seconds);
		this.bucket.add(startSeconds * this.shares.start() / this.shares.windowSeconds());
		this.credits.refill(seconds);
		this.unconfirmed.refill(confirmed - this.confirmedSeconds);
		this.confirmedSeconds = confirmed;
		Iterator<Long> times = this.log.values().iterator();
		while (times.hasNext() && nowNanos - times.next() >= this.shares.windowSeconds() * 1e9) {
			times.remove();
		}
	}

	void changeCap(RateLimit newCap) {
		if (newCap.equals(this.cap)) {
			return;
		}
		this.cap = newCap;
		this.shares = RateLimitShares.of(newCap, this.bounds);
		this.bucket.change(this.shares.rate(), this.shares.capacity());
		this.credits.change(creditRate(), this.shares.returns() / 2);
		this.unconfirmed.change(unconfirmedRate(), this.shares.unconfirmed() / 2);
		resetPlaces();
	}

	/**
	 * Decides while the holder's membership is confirmed.
	 * @param request the request
	 * @param permit identifier for the permit
	 * @return the decision
	 */
	PermitDecision decide(PermitRequest request, long permit) {
		this.unconfirmedGrants = 0;
		boolean logFull = this.log.size() + 1 > this.bounds.maxRequests(this.cap);
		if (logFull || !this.bucket.hasToken()) {
			this.denied = true;
			this.deniedNanos = this.refilledNanos;
			return deny(logFull);
		}
		if (!isUnderPressure()) {
			resetPlaces();
			return grant(request, permit);
		}
		double limit = this.cap.ratePerSecond() * this.shares.windowSeconds() + this.cap.burst();
		if (this.programs.isNew(request) && this.programs.expectedRequests(this.refilledNanos) >= limit) {
			return denyProgram(this.programs.nanosToFit(this.refilledNanos, limit));
		}
		return grant(request, permit);
	}

	private void resetPlaces() {
		this.nextPlaceNanos = this.refilledNanos;
		this.nextProgramPlaceNanos = this.refilledNanos;
	}

	// An account below its cap is never under pressure for long, so that an inexact
	// estimate of the requests of a program does not deny it anything.
	private boolean isUnderPressure() {
		boolean recentlyDenied = this.denied
				&& this.refilledNanos - this.deniedNanos < this.shares.windowSeconds() * 1e9;
		return recentlyDenied || this.bucket.level() < this.shares.capacity() * PRESSURE_FRACTION;
	}

	/**
	 * Decides while the holder's membership is not confirmed.
	 * @param request the request
	 * @param permit identifier for the permit
	 * @param seconds time since the end of the confirmation in seconds
	 * @return the decision
	 */
	PermitDecision decideUnconfirmed(PermitRequest request, long permit, double seconds) {
		double window = this.shares.windowSeconds();
		double released = this.shares.unconfirmed() / 2 * Math.min(1, seconds / window);
		if (seconds > UNCONFIRMED_WINDOWS * window || !this.bucket.hasToken() || !this.unconfirmed.hasToken()
				|| this.unconfirmedGrants + 1 > released) {
			return PermitDecision.NOT_READY;
		}
		this.unconfirmedGrants++;
		this.unconfirmed.take();
		return grant(request, permit);
	}

	private PermitDecision grant(PermitRequest request, long permit) {
		this.bucket.take();
		this.log.put(permit, this.refilledNanos);
		this.programs.recordGrant(request, this.refilledNanos);
		return new PermitDecision(PermitDecision.Status.GRANTED, permit, 0);
	}

	private PermitDecision deny(boolean logFull) {
		long wait = (long) (Math.min(MAX_RETRY_AFTER_MS / 1e3, this.bucket.secondsToToken()) * 1e9);
		if (logFull && !this.log.isEmpty()) {
			long oldest = this.log.values().iterator().next();
			long expiry = oldest + (long) (this.shares.windowSeconds() * 1e9) - this.refilledNanos;
			wait = Math.max(wait, Math.max(MIN_WAIT_NANOS, expiry));
		}
		long place = place(this.nextPlaceNanos, wait);
		this.nextPlaceNanos = place + intervalNanos();
		return new PermitDecision(PermitDecision.Status.DENIED, 0, millisUntil(place));
	}

	private PermitDecision denyProgram(long nanosToFit) {
		long place = place(this.nextProgramPlaceNanos, Math.max(MIN_WAIT_NANOS, nanosToFit));
		this.nextProgramPlaceNanos = place + intervalNanos();
		return new PermitDecision(PermitDecision.Status.PROGRAM_DENIED, 0, millisUntil(place));
	}

	// Denied requests get successive times at the account's rate, so that they are
	// granted when they return.
	private long place(long next, long waitNanos) {
		long earliest = this.refilledNanos + waitNanos;
		return Math.max(earliest, Math.min(next, earliest + MAX_BOOKED_NANOS));
	}

	private long intervalNanos() {
		return (long) (1e9 / Math.max(1e-3, this.cap.ratePerSecond()));
	}

	private long millisUntil(long place) {
		return Math.min(MAX_RETRY_AFTER_MS, (place - this.refilledNanos) / 1_000_000 + 1);
	}

	/**
	 * Credits a permit whose request never runs, up to the share for returns.
	 * @param permit identifier of the permit
	 * @return whether the permit was credited
	 */
	boolean giveBack(long permit) {
		if (this.log.remove(permit) == null || !this.credits.hasToken()) {
			return false;
		}
		this.credits.take();
		this.bucket.add(1);
		return true;
	}

	/**
	 * Returns whether this account was not used for some time and its bucket is full. A
	 * new object has the same level, since a bucket without grants fills first.
	 * @param nowNanos current time
	 * @param idleNanos time without requests
	 * @return whether it can be discarded
	 */
	boolean isUnused(long nowNanos, long idleNanos) {
		return nowNanos - this.refilledNanos >= idleNanos && nowNanos - this.emptyNanos >= idleNanos
				&& this.bucket.secondsToFull() * 1e9 <= idleNanos;
	}

}

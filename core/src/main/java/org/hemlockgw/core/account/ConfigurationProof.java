package org.hemlockgw.core.account;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Newest proof that the configuration in force was the newest valid one. A key may be
 * used only while the proof is recent, since another configuration may have revoked it
 * since. Proofs are dated from the sending of the call that showed the configuration,
 * because its answer may have waited anywhere.
 */
public final class ConfigurationProof {

	/**
	 * Age at which a proof expires, as a fraction of the limit for revoked keys. The rest
	 * covers the different rates of the daemons' clocks.
	 */
	private static final double BOUND_FRACTION = 0.9;

	/**
	 * Age, as a multiple of the bound, from which on an outage is assumed to affect all
	 * daemons. Within two bounds after the expiry at least six other daemons are asked.
	 */
	private static final int LOST_BOUNDS = 3;

	private final @Nullable Duration bound;

	private final SuspendAwareClock clock;

	private @Nullable Long provenNanos;

	/**
	 * Creates an instance without a proof.
	 * @param revocationLimit time within which a revoked key must stop working; null if
	 * no proof is needed
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param wallClock wall clock
	 */
	public ConfigurationProof(@Nullable Duration revocationLimit, LongSupplier nanoClock, InstantSource wallClock) {
		this.bound = (revocationLimit != null) ? Duration.ofNanos((long) (revocationLimit.toNanos() * BOUND_FRACTION))
				: null;
		this.clock = new SuspendAwareClock(nanoClock, wallClock);
	}

	/**
	 * Returns the clock by which proofs are dated.
	 * @return clock in nanoseconds
	 */
	public LongSupplier clock() {
		return this.clock;
	}

	/**
	 * Records a proof. An older one than the current one has no effect.
	 * @param nanos time to which the proof is dated, by {@link #clock()}
	 */
	public void record(long nanos) {
		Long current = this.provenNanos;
		if (current == null || nanos - current > 0) {
			this.provenNanos = nanos;
		}
	}

	/**
	 * Returns the age of the newest proof.
	 * @return age in nanoseconds; {@link Long#MAX_VALUE} if there is no proof
	 */
	public long ageNanos() {
		Long current = this.provenNanos;
		return (current != null) ? Math.max(0, this.clock.getAsLong() - current) : Long.MAX_VALUE;
	}

	/**
	 * Returns whether keys may be used now.
	 * @return true if the proof is recent or none is needed
	 */
	public boolean isValid() {
		return this.bound == null || ageNanos() < this.bound.toNanos();
	}

	/**
	 * Returns whether the proof expired so recently that other daemons probably have one.
	 * After three times the bound without any proof, the store is away for all daemons.
	 * @return false if the proof is valid or expired long ago
	 */
	public boolean isRecentlyLost() {
		return this.bound != null && !isValid()
				&& (this.provenNanos == null || ageNanos() < LOST_BOUNDS * this.bound.toNanos());
	}

	/**
	 * Returns the age at which a proof expires.
	 * @return the age; null if no proof is needed
	 */
	public @Nullable Duration bound() {
		return this.bound;
	}

}

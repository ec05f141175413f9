package org.hemlockgw.core.ledger;

import java.time.Duration;

/**
 * A daemon's share of the log's append rate.
 */
public final class AppendRateShare {

	/**
	 * Appends a second that all ledgers together may use. The log takes several hundred;
	 * the rest is left to the configuration and control streams.
	 */
	public static final int LEDGER_APPENDS_PER_SECOND = 300;

	private AppendRateShare() {
	}

	/**
	 * Returns the shortest time between two appends of one daemon.
	 * @param least lower bound from the settings
	 * @param daemons daemons that share the log
	 * @return the interval
	 */
	public static Duration minInterval(Duration least, int daemons) {
		Duration share = Duration.ofSeconds(Math.max(1, daemons)).dividedBy(LEDGER_APPENDS_PER_SECOND);
		return (share.compareTo(least) > 0) ? share : least;
	}

}

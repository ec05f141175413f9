package org.hemlockgw.core.ledger;

import java.time.Duration;

/**
 * Share of the log's append rate that each daemon may use.
 */
public final class AppendRateShare {

	/**
	 * Total append rate of all ledgers, in appends per second. The log accepts several
	 * hundred; the remainder is reserved for the configuration and control streams.
	 */
	public static final int LEDGER_APPENDS_PER_SECOND = 300;

	private AppendRateShare() {
	}

	/**
	 * Returns the minimum interval between two appends of one daemon.
	 * @param configuredMin lower bound from the settings
	 * @param daemons number of daemons that share the log
	 * @return the interval
	 */
	public static Duration minInterval(Duration configuredMin, int daemons) {
		Duration share = Duration.ofSeconds(Math.max(1, daemons)).dividedBy(LEDGER_APPENDS_PER_SECOND);
		return (share.compareTo(configuredMin) > 0) ? share : configuredMin;
	}

}

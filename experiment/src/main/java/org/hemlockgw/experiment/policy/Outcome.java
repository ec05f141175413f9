package org.hemlockgw.experiment.policy;

import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * What one run measured. Latencies are in microseconds.
 *
 * @param policy the policy
 * @param programs end-to-end latency of finished root programs, tool pauses included
 * @param programsByAccount the same by client account
 * @param firstToken time from a call to its first token
 * @param tokenInterval mean time between tokens of each call
 * @param wastedTokens prompt tokens computed again although some engine had held them
 * @param idleTokenSeconds token-seconds held for ended programs or during pauses
 * @param offered root programs that arrived
 * @param finished root programs that finished
 * @param shed root programs refused at their start
 * @param lastFinishNs when the last program finished
 * @param busiest busy share of the busiest engine
 * @param meanBusy mean busy share of the engines
 */
record Outcome(PolicyKind policy, Histogram programs, Map<String, Histogram> programsByAccount, Histogram firstToken,
		Histogram tokenInterval, long wastedTokens, double idleTokenSeconds, int offered, int finished, int shed,
		long lastFinishNs, double busiest, double meanBusy) {

	double p95Seconds() {
		return this.programs.getValueAtPercentile(95) / 1e6;
	}

	/**
	 * Returns finished programs a second.
	 * @return finished programs over the time until the last one finished
	 */
	double throughput() {
		return this.finished / (this.lastFinishNs / 1e9);
	}

}

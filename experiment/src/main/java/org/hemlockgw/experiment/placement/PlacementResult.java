package org.hemlockgw.experiment.placement;

import java.util.Locale;

/**
 * Result of a run.
 *
 * @param inTime share of the programs that ended in time
 * @param moved share of the continued turns that ran at another server than the one
 * before
 * @param movedByChange sessions moved by the removal and the addition of a server, beyond
 * those that move anyway, per session and change
 * @param readTokens prompt tokens read
 * @param rereadTokens prompt tokens read although an engine had read them before
 * @param busiest requests of the busiest engine relative to its share by speed
 * @param busiestOfMean requests of the busiest engine relative to the mean
 * @param preemptions requests preempted because memory ran out
 * @param refusals refused requests
 */
record PlacementResult(double inTime, double moved, double movedByChange, long readTokens, long rereadTokens,
		double busiest, double busiestOfMean, int preemptions, long refusals) {

	static final String HEADER = String.format(Locale.ROOT, "%-8s %5s %5s %8s %8s %9s %8s %8s %8s %8s %8s %8s", "rule",
			"seed", "load", "in time", "moved", "by change", "read M", "again M", "of share", "of mean", "preempt",
			"refused");

	String format(String rule, long seed, double load) {
		return String.format(Locale.ROOT, "%-8s %5d %5.2f %8.4f %8.4f %9.4f %8.2f %8.3f %8.2f %8.2f %8d %8d", rule,
				seed, load, this.inTime, this.moved, this.movedByChange, this.readTokens / 1e6, this.rereadTokens / 1e6,
				this.busiest, this.busiestOfMean, this.preemptions, this.refusals);
	}

}

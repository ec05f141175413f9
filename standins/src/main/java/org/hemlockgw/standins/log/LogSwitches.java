package org.hemlockgw.standins.log;

/**
 * Faults of the log service.
 *
 * @param outage answers reads and appends with 503
 * @param loseAnswers number of coming appends that take effect and break the connection
 * instead of being answered
 * @param delayMs delay ahead of each read and append
 * @param appendsPerS appends accepted a second; 0 for no limit
 * @param retentionMs how long a record is kept; 0 for ever
 */
public record LogSwitches(boolean outage, int loseAnswers, long delayMs, long appendsPerS, long retentionMs) {

	LogSwitches withOneAnswerLost() {
		return new LogSwitches(this.outage, Math.max(0, this.loseAnswers - 1), this.delayMs, this.appendsPerS,
				this.retentionMs);
	}

}

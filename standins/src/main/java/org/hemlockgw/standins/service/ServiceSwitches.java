package org.hemlockgw.standins.service;

/**
 * Faults of the plain service.
 *
 * @param delayMs time that an execution takes
 * @param refuse answers calls with 503 and {@code X-Admitted: false} and does not execute
 * them
 * @param breakAt when calls lose their connection
 * @param breakCalls number of coming calls that {@code breakAt} applies to; negative for
 * all
 */
public record ServiceSwitches(long delayMs, boolean refuse, BreakPoint breakAt, int breakCalls) {

	BreakPoint breakPoint() {
		return (this.breakCalls != 0) ? this.breakAt : BreakPoint.NONE;
	}

	ServiceSwitches withOneBreakLess() {
		if (this.breakAt == BreakPoint.NONE || this.breakCalls <= 0) {
			return this;
		}
		return new ServiceSwitches(this.delayMs, this.refuse, this.breakAt, this.breakCalls - 1);
	}

}

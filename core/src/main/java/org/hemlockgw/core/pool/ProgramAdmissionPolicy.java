package org.hemlockgw.core.pool;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether a new program may begin while few slots are free, for floods, by what
 * the programs under way are expected to need. An account may use the more slots the less
 * all programs together need, so a flood from one account is refused while the others
 * still begin. Not thread-safe.
 */
final class ProgramAdmissionPolicy {

	/**
	 * Slots that one account may use for each slot that is left (dynamic threshold). With
	 * 8, a flood left so little that the others' less urgent programs became late.
	 */
	private static final double SHARE_OF_REST = 2;

	private final ProgramsUnderWay programs;

	private final ReturnSchedule returns = new ReturnSchedule();

	ProgramAdmissionPolicy(ProgramsUnderWay programs) {
		this.programs = programs;
	}

	/**
	 * Checks whether a new program may begin.
	 * @param request its first request
	 * @param slots number of slots of the pool
	 * @param spare whether slots are free
	 * @param startedWait whether requests of started programs wait
	 * @param nowNanos current time
	 * @return why the program is refused, or null if it may begin
	 */
	@Nullable RefusalReason check(SlotRequest request, long slots, boolean spare, boolean startedWait, long nowNanos) {
		this.returns.remove(request);
		RouteProfile profile = this.programs.profile(request.route());
		// Free slots are spare only beyond those that the programs in the tools need when
		// they come back.
		boolean needed = !spare || this.programs.activeCount() >= slots;
		if (needed && profile.isSlowedByPauses(nowNanos)) {
			return RefusalReason.SLOW_TOOLS;
		}
		if (spare) {
			return null;
		}
		double need = profile.slotsPerProgram();
		double accountDemand = this.programs.demand(request.account()) + need;
		if (startedWait) {
			int accounts = this.programs.accountCount();
			// A flood of one account makes its own started programs wait as well as the
			// others'. Accounts within an equal share have not caused it.
			boolean withinShare = accounts > 1 && accountDemand * accounts <= slots;
			return withinShare ? null : RefusalReason.STARTED_PROGRAMS_WAIT;
		}
		double returning = this.returns.count(request.account(), request.priority()) * need;
		// The limit at which accounts that all flood use exactly all slots together.
		int accounts = Math.max(1, this.programs.accountCount());
		double limit = slots * (1 + 1 / (SHARE_OF_REST * accounts));
		double rest = limit - this.programs.demand() - returning;
		boolean fits = accountDemand + returning <= SHARE_OF_REST * rest;
		return fits ? null : RefusalReason.ACCOUNT_DEMAND;
	}

	/**
	 * Describes why a program is refused.
	 * @param refusal the reason
	 * @return text for the caller
	 */
	static String describe(RefusalReason refusal) {
		return switch (refusal) {
			case SLOW_TOOLS -> "time between turns is too long for new programs";
			case ACCOUNT_DEMAND -> "programs under way need the slots";
			default -> "started programs wait for slots";
		};
	}

	/**
	 * Returns the time after which a refused program may return.
	 * @param request its first request
	 * @param slots number of slots of the pool
	 * @param requestDurationMs average duration of a request in milliseconds
	 * @param nowNanos current time
	 * @return time in milliseconds
	 */
	long retryAfterMs(SlotRequest request, long slots, double requestDurationMs, long nowNanos) {
		RouteProfile profile = this.programs.profile(request.route());
		double turnMs = (profile.turnMs() > 0) ? profile.turnMs() : requestDurationMs;
		double demand = this.programs.demand();
		double share = (demand > 0) ? this.programs.demand(request.account()) / demand : 1;
		double smallestShare = 1.0 / Math.max(1, this.programs.accountCount());
		double accountSlots = Math.max(1, slots) * Math.max(share, smallestShare);
		return this.returns.retryAfterMs(request, profile.remainingTurns(0) * turnMs / accountSlots, nowNanos);
	}

	/**
	 * Removes places of programs that did not return.
	 * @param nowNanos current time
	 */
	void expire(long nowNanos) {
		this.returns.expire(nowNanos);
	}

}

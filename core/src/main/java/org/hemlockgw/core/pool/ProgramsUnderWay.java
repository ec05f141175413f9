package org.hemlockgw.core.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Programs that have begun in a pool and the slots that they are expected to occupy, in
 * total and by account. The end of a program is not announced, so a program that has not
 * sent a turn for several usual pauses counts as ended. Not thread-safe.
 */
final class ProgramsUnderWay {

	/** Number of usual pauses after which a program counts as ended. */
	private static final double MAX_PAUSES = 4;

	/** Shortest time in milliseconds after which a program counts as ended. */
	private static final double MIN_IDLE_MS = 100;

	/** Maximum number of routes with a profile; names come from the configuration. */
	private static final int MAX_ROUTES = 1000;

	/**
	 * Maximum number of programs without a turn that are kept. Callers choose their
	 * objectives, until which a program is kept.
	 */
	private static final int MAX_PROGRAMS = 65_536;

	private static final double NANOS_PER_MS = 1_000_000;

	// In the order of the last activity.
	private final LinkedHashMap<String, Program> programs = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, RouteProfile> profiles = new HashMap<>();

	private final Map<String, Double> demandByAccount = new HashMap<>();

	private double demand;

	private int activeCount;

	/**
	 * Returns the profile of a route.
	 * @param route name of the route
	 * @return its profile
	 */
	RouteProfile profile(String route) {
		if (!this.profiles.containsKey(route) && this.profiles.size() >= MAX_ROUTES) {
			this.profiles.clear();
		}
		return this.profiles.computeIfAbsent(route, (name) -> new RouteProfile());
	}

	/**
	 * Records the arrival of a request of a program that has begun. The first one after a
	 * completed turn ends the pause; one that returns after a refusal doesn't.
	 * @param request the request
	 * @param nowNanos current time
	 */
	void recordArrival(SlotRequest request, long nowNanos) {
		Program program = find(request);
		if (program != null && program.pausing) {
			program.pausing = false;
			program.profile.recordPause((nowNanos - program.idleSinceNanos) / NANOS_PER_MS, nowNanos);
			program.profile.recordContinuation(program.turnsDone, true);
			setDemand(program, program.profile.slotsPerProgram());
		}
	}

	/**
	 * Records that a request waits for a slot. Its program needs one at least as much as
	 * those that hold one.
	 * @param request the request
	 * @param nowNanos current time
	 */
	void recordQueued(SlotRequest request, long nowNanos) {
		if (!request.program().isEmpty()) {
			Program program = findOrAdd(request, nowNanos);
			program.waitingTurns++;
			setDemand(program, program.profile.slotsPerProgram());
		}
	}

	/**
	 * Records that a request doesn't wait any more, after its grant was recorded if it
	 * received a slot.
	 * @param request the request
	 * @param nowNanos current time
	 */
	void recordDequeued(SlotRequest request, long nowNanos) {
		Program program = find(request);
		if (program == null || program.waitingTurns == 0) {
			return;
		}
		program.waitingTurns--;
		if (program.isActive()) {
			return;
		}
		program.idleSinceNanos = nowNanos;
		if (program.begun) {
			setDemand(program, program.profile.slotsPerProgram() * program.profile.continuation(program.turnsDone));
		}
		else {
			setDemand(program, 0);
			this.programs.remove(key(request));
		}
	}

	private Program findOrAdd(SlotRequest request, long nowNanos) {
		if (this.programs.size() >= MAX_PROGRAMS) {
			removeOldest();
		}
		return this.programs.computeIfAbsent(key(request),
				(key) -> new Program(request.account(), profile(request.route()), nowNanos));
	}

	/**
	 * Records that a request has received a slot.
	 * @param request the request
	 * @param nowNanos current time
	 */
	void recordGrant(SlotRequest request, long nowNanos) {
		if (request.program().isEmpty()) {
			return;
		}
		Program program = findOrAdd(request, nowNanos);
		program.begun = true;
		program.openTurns++;
		if (request.programRemainingMs() != Long.MAX_VALUE) {
			program.objectiveEndNanos = nowNanos + Math.round(request.programRemainingMs() * NANOS_PER_MS);
		}
		setDemand(program, program.profile.slotsPerProgram());
	}

	/**
	 * Records that a request has released its slot.
	 * @param request the request
	 * @param durationMs time in the slot in milliseconds; negative if no turn was
	 * completed
	 * @param nowNanos current time
	 */
	void recordRelease(SlotRequest request, double durationMs, long nowNanos) {
		if (durationMs >= 0) {
			profile(request.route()).recordTurn(durationMs);
		}
		Program program = find(request);
		if (program == null || program.openTurns == 0) {
			return;
		}
		program.openTurns--;
		program.idleSinceNanos = nowNanos;
		if (durationMs >= 0) {
			program.turnsDone++;
			program.pausing = true;
		}
		if (!program.isActive()) {
			setDemand(program, program.profile.slotsPerProgram() * program.profile.continuation(program.turnsDone));
		}
	}

	/**
	 * Removes the programs that count as ended.
	 * @param nowNanos current time
	 */
	void expire(long nowNanos) {
		Iterator<Program> iterator = this.programs.values().iterator();
		while (iterator.hasNext()) {
			Program program = iterator.next();
			double idleMs = (nowNanos - program.idleSinceNanos) / NANOS_PER_MS;
			if (program.isActive()) {
				continue;
			}
			if (idleMs < Math.max(MIN_IDLE_MS, MAX_PAUSES * program.profile.pauseMs())) {
				setDemand(program, program.profile.slotsPerProgram()
						* program.profile.continuationAfter(program.turnsDone, idleMs));
				continue;
			}
			setDemand(program, 0);
			// It may wait for a slow tool until its objective has passed.
			if (nowNanos - program.objectiveEndNanos >= 0) {
				if (program.pausing) {
					program.profile.recordContinuation(program.turnsDone, false);
				}
				iterator.remove();
			}
		}
	}

	private void removeOldest() {
		Iterator<Program> iterator = this.programs.values().iterator();
		while (iterator.hasNext()) {
			Program program = iterator.next();
			if (!program.isActive()) {
				setDemand(program, 0);
				iterator.remove();
				return;
			}
		}
	}

	/**
	 * Returns the number of turns that the program of a request has completed.
	 * @param request the request
	 * @return number of turns, 0 if the program is not known
	 */
	int turnsDone(SlotRequest request) {
		Program program = find(request);
		return (program != null) ? program.turnsDone : 0;
	}

	/**
	 * Returns the average number of slots that all programs under way occupy.
	 * @return number of slots
	 */
	double demand() {
		return Math.max(0, this.demand);
	}

	/**
	 * Returns the number of programs that are expected to run further turns.
	 * @return number of programs
	 */
	int activeCount() {
		return this.activeCount;
	}

	/**
	 * Returns the average number of slots that the programs of an account occupy.
	 * @param account name of the account
	 * @return number of slots
	 */
	double demand(String account) {
		return this.demandByAccount.getOrDefault(account, 0.0);
	}

	/**
	 * Returns the number of accounts that have programs under way.
	 * @return number of accounts
	 */
	int accountCount() {
		return this.demandByAccount.size();
	}

	private @Nullable Program find(SlotRequest request) {
		return request.program().isEmpty() ? null : this.programs.get(key(request));
	}

	private static String key(SlotRequest request) {
		return request.account() + '\n' + request.program();
	}

	private void setDemand(Program program, double slots) {
		double change = slots - program.demand;
		int activeChange = ((slots > 0) ? 1 : 0) - ((program.demand > 0) ? 1 : 0);
		this.activeCount += activeChange;
		program.profile.changeActivePrograms(activeChange);
		program.demand = slots;
		this.demand += change;
		double accountDemand = this.demandByAccount.merge(program.account, change, Double::sum);
		// Rounding leaves a small remainder after the last program of an account.
		if (accountDemand < 1e-6) {
			this.demandByAccount.remove(program.account);
		}
	}

	private static final class Program {

		private final String account;

		private final RouteProfile profile;

		private int openTurns;

		private int waitingTurns;

		private int turnsDone;

		private boolean begun;

		// Whether the last activity was a completed turn.
		private boolean pausing;

		private long idleSinceNanos;

		private long objectiveEndNanos;

		private double demand;

		Program(String account, RouteProfile profile, long nowNanos) {
			this.account = account;
			this.profile = profile;
			this.idleSinceNanos = nowNanos;
			this.objectiveEndNanos = nowNanos;
		}

		boolean isActive() {
			return this.openTurns > 0 || this.waitingTurns > 0;
		}

	}

}

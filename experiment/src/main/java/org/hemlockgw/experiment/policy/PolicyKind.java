package org.hemlockgw.experiment.policy;

import org.hemlockgw.core.config.Policy;

/**
 * Policies that are compared.
 */
enum PolicyKind {

	/** Round robin over engines, first come first served, no program knowledge. */
	BASELINE(false, Choice.ROUND_ROBIN, Policy.LATENCY_FIRST),

	/** Engine with the fewest requests, first come first served. */
	LEAST_LOADED(false, Choice.LEAST_LOADED, Policy.LATENCY_FIRST),

	/** Engine of the program's last turn, else round robin; first come first served. */
	CACHE_AFFINITY(false, Choice.AFFINITY, Policy.LATENCY_FIRST),

	/** The product's policy with latency first. */
	HEMLOCK_LATENCY(true, Choice.ESTIMATE, Policy.LATENCY_FIRST),

	/** The product's policy with cache first. */
	HEMLOCK_CACHE(true, Choice.ESTIMATE, Policy.CACHE_FIRST);

	private final boolean programAware;

	private final Choice choice;

	private final Policy policy;

	PolicyKind(boolean programAware, Choice choice, Policy policy) {
		this.programAware = programAware;
		this.choice = choice;
		this.policy = policy;
	}

	/**
	 * Tells whether the policy queues before the engine, releases cache of ended programs
	 * and sheds new programs.
	 * @return whether it does
	 */
	boolean programAware() {
		return this.programAware;
	}

	Choice choice() {
		return this.choice;
	}

	Policy policy() {
		return this.policy;
	}

	/**
	 * How the engine of a turn is chosen.
	 */
	enum Choice {

		/** In turn. */
		ROUND_ROBIN,

		/** Fewest requests. */
		LEAST_LOADED,

		/** Last engine of the program. */
		AFFINITY,

		/** Lowest estimated cost. */
		ESTIMATE

	}

}

package org.hemlockgw.experiment.policy;

import org.jspecify.annotations.Nullable;

/**
 * Progress of one program.
 */
final class ProgramRun {

	final ProgramSpec spec;

	final @Nullable ProgramRun parent;

	final long startNs;

	int turn;

	long historyTokens;

	int lastEngine = -1;

	long lastHeldTokens;

	long highestHeldTokens;

	long attainedTokens;

	int openChildren;

	boolean paused;

	long sentNs;

	long firstTokenNs;

	ProgramRun(ProgramSpec spec, @Nullable ProgramRun parent, long startNs) {
		this.spec = spec;
		this.parent = parent;
		this.startNs = startNs;
	}

	ProgramSpec.Turn current() {
		return this.spec.turns().get(this.turn);
	}

	long promptTokens() {
		return this.historyTokens + current().newTokens();
	}

}

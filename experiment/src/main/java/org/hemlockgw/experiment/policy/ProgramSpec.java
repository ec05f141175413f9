package org.hemlockgw.experiment.policy;

import java.util.List;

import org.hemlockgw.core.common.ProgramId;

/**
 * A program of the workload. Policies never see it; they learn each turn when it arrives.
 *
 * @param id the program
 * @param arrivalNs arrival time of a root program; 0 for a child
 * @param turns its turns in order
 */
record ProgramSpec(ProgramId id, long arrivalNs, List<Turn> turns) {

	/**
	 * One model turn and what follows it.
	 *
	 * @param newTokens tokens added to the history before the call
	 * @param answerTokens tokens of the answer
	 * @param pauseNs tool pause after the answer
	 * @param children sub-agents that run during the pause
	 */
	record Turn(int newTokens, int answerTokens, long pauseNs, List<ProgramSpec> children) {
	}

}

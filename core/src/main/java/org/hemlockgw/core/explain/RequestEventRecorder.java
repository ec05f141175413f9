package org.hemlockgw.core.explain;

import org.hemlockgw.core.common.ProgramId;

/**
 * Receives the hops, choices and verdicts of requests, for {@code hemlockctl explain}.
 */
@FunctionalInterface
public interface RequestEventRecorder {

	/**
	 * Records one event. Must not block.
	 * @param program the program
	 * @param requestId the request
	 * @param hop {@code entry}, {@code owner} or {@code dispatcher}
	 * @param event what happened, for example {@code engine_chosen}
	 * @param reason why, in one sentence
	 */
	void record(ProgramId program, String requestId, String hop, String event, String reason);

}

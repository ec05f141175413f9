package org.hemlockgw.core.explain;

import org.hemlockgw.core.common.ProgramId;

/**
 * Records the hops, decisions and verdicts of requests for the command
 * {@code hemlockctl explain}.
 */
@FunctionalInterface
public interface RequestEventRecorder {

	/**
	 * Records one event. Implementations must not block.
	 * @param program the program
	 * @param requestId request identifier
	 * @param hop component that reports the event: {@code entry}, {@code owner} or
	 * {@code dispatcher}
	 * @param event what happened, for example {@code engine_chosen}
	 * @param reason cause of the event, in one sentence
	 */
	void record(ProgramId program, String requestId, String hop, String event, String reason);

}

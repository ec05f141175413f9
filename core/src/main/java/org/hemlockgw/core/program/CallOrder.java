package org.hemlockgw.core.program;

import java.util.List;

/**
 * Order of a program's calls. A call with a step waits for its predecessor; calls of step
 * 0 run in order of arrival.
 */
public final class CallOrder {

	private CallOrder() {
	}

	/**
	 * Returns which waiting call is due when none runs.
	 * @param waiting waiting calls in order of arrival
	 * @param state state of the program
	 * @return index in {@code waiting}, or -1 when each call waits for its predecessor
	 */
	public static int nextDue(List<CallRequest> waiting, ProgramSnapshot state) {
		for (int i = 0; i < waiting.size(); i++) {
			CallRequest request = waiting.get(i);
			if (due(request, state)) {
				return i;
			}
		}
		return -1;
	}

	private static boolean due(CallRequest request, ProgramSnapshot state) {
		return request.step() <= state.calls().lastStep() + 1 || state.history().canBeCompletedBy(request);
	}

}

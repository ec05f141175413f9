package org.hemlockgw.core.program;

import java.util.List;

/**
 * Order in which the calls of a program run. A call with a step number waits for the
 * previous step; calls with step 0 run in order of arrival.
 */
public final class CallOrder {

	private CallOrder() {
	}

	/**
	 * Selects the waiting call that may run next. Called when no call of the program is
	 * running.
	 * @param waiting waiting calls in order of arrival
	 * @param state state of the program
	 * @return index in {@code waiting}, or -1 if every call still waits for its previous
	 * step
	 */
	public static int nextDue(List<CallRequest> waiting, ProgramSnapshot state) {
		for (int i = 0; i < waiting.size(); i++) {
			CallRequest request = waiting.get(i);
			if (isDue(request, state)) {
				return i;
			}
		}
		return -1;
	}

	private static boolean isDue(CallRequest request, ProgramSnapshot state) {
		return request.step() <= state.calls().lastStep() + 1 || state.history().canBeCompletedBy(request);
	}

}

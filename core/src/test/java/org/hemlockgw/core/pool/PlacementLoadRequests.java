package org.hemlockgw.core.pool;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Single requests of sessions.
 */
final class PlacementLoadRequests {

	private PlacementLoadRequests() {
	}

	/**
	 * Submits the request of a session that has run before.
	 * @param scheduler the scheduler
	 * @param session identifier of the session, also of the request
	 * @param tokens length of its prompt
	 * @param granted receives the identifier of the server
	 */
	static void submit(PoolScheduler scheduler, String session, int tokens, Consumer<String> granted) {
		scheduler.submit(new SlotRequest(session, "d", "", session, 0, true, Long.MAX_VALUE, 250, 3000,
				List.of(new PromptPart(session, tokens)), 64, Set.of(), Set.of()), (decision) -> {
					String server = decision.serverId();
					if (server != null) {
						granted.accept(server);
					}
				});
	}

}

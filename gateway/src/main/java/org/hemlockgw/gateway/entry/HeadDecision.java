package org.hemlockgw.gateway.entry;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.route.Route;
import org.hemlockgw.core.route.RoutingTable;

/**
 * Decision on a request that is made from its head alone, before its body is kept.
 *
 * @param routes configuration that was used; null if none is known
 * @param route route of the request; null if it is refused
 * @param refusal why the request is refused; null if it isn't
 */
record HeadDecision(@Nullable RoutingTable routes, @Nullable Route route, @Nullable Refusal refusal) {

	/**
	 * Retry-After in milliseconds before a configuration is received; a start takes less
	 * than a second.
	 */
	private static final long START_RETRY_AFTER_MS = 500;

	/**
	 * Maximum length of the identifiers of requests and programs in characters. They
	 * become keys of at most 255 bytes in the store.
	 */
	private static final int MAX_IDENTIFIER_LENGTH = 120;

	/**
	 * Decides on a request. All checks that need no body belong here.
	 * @param services services of the daemon
	 * @param request parsed headers of the request
	 * @return the decision
	 */
	static HeadDecision of(Services services, CallerRequest request) {
		RoutingTable routes = services.routes().get();
		if (routes == null) {
			return refuse(null, 503, START_RETRY_AFTER_MS, "no configuration is known yet");
		}
		Route route = routes.match(request.host(), request.path());
		if (route == null) {
			return refuse(routes, 404, 0, "no route");
		}
		if (request.id().isEmpty()) {
			return refuse(routes, 400, 0, "request identifier is missing");
		}
		if (hasLongIdentifier(request)) {
			return refuse(routes, 400, 0, "an identifier is longer than " + MAX_IDENTIFIER_LENGTH + " characters");
		}
		return new HeadDecision(routes, route, null);
	}

	private static boolean hasLongIdentifier(CallerRequest request) {
		String program = request.program();
		return request.id().length() > MAX_IDENTIFIER_LENGTH
				|| (program != null && program.length() > MAX_IDENTIFIER_LENGTH);
	}

	private static HeadDecision refuse(@Nullable RoutingTable routes, int status, long retryAfterMs, String reason) {
		return new HeadDecision(routes, null, new Refusal(status, retryAfterMs, reason));
	}

}

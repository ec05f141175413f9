package org.hemlockgw.gateway.entry;

import java.nio.charset.StandardCharsets;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.AccountAccess;
import org.hemlockgw.core.account.AccountScope;
import org.hemlockgw.core.route.Route;
import org.hemlockgw.core.route.RoutingTable;

/**
 * Decision on a request that is made from its head alone, before its body is kept.
 *
 * @param routes configuration that was used; null if none is known
 * @param route route of the request; null if it is refused
 * @param scope client account that the request belongs to
 * @param access whether the caller's key permits the request
 * @param refusal why the request is refused; null if it isn't
 */
record HeadDecision(@Nullable RoutingTable routes, @Nullable Route route, AccountScope scope,
		AccountAccess.Outcome access, @Nullable Refusal refusal) {

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
	 * Maximum length in bytes of an identifier with its account; the store's keys have
	 * one byte in addition.
	 */
	private static final int MAX_QUALIFIED_BYTES = 254;

	/**
	 * Retry-After in milliseconds while the newest proof of the configuration is too old.
	 * Another daemon is asked for one about three times a second.
	 */
	private static final long PROOF_RETRY_AFTER_MS = 300;

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
		AccountAccess.Decision access = AccountAccess.decide(routes.accounts(), route.publicAccess(),
				services.proof()::isValid, request.credentials());
		if (hasLongIdentifier(access.scope(), request)) {
			return refuse(routes, 400, 0, "an identifier is longer than " + MAX_IDENTIFIER_LENGTH + " characters");
		}
		if (access.outcome() != AccountAccess.Outcome.ACCEPTED) {
			return new HeadDecision(routes, null, access.scope(), access.outcome(), refusal(access.outcome()));
		}
		return new HeadDecision(routes, route, access.scope(), access.outcome(), null);
	}

	private static boolean hasLongIdentifier(AccountScope scope, CallerRequest request) {
		String program = request.program();
		return isLong(scope, request.id()) || (program != null && isLong(scope, program));
	}

	private static boolean isLong(AccountScope scope, String identifier) {
		return identifier.length() > MAX_IDENTIFIER_LENGTH
				|| scope.qualify(identifier).getBytes(StandardCharsets.UTF_8).length > MAX_QUALIFIED_BYTES;
	}

	private static Refusal refusal(AccountAccess.Outcome outcome) {
		return switch (outcome) {
			case PROOF_TOO_OLD -> new Refusal(503, PROOF_RETRY_AFTER_MS, "configuration may be out of date");
			case KEY_MISSING -> new Refusal(401, 0, "API key is missing");
			default -> new Refusal(401, 0, "API key is unknown");
		};
	}

	private static HeadDecision refuse(@Nullable RoutingTable routes, int status, long retryAfterMs, String reason) {
		return new HeadDecision(routes, null, AccountScope.DISABLED, AccountAccess.Outcome.ACCEPTED,
				new Refusal(status, retryAfterMs, reason));
	}

}

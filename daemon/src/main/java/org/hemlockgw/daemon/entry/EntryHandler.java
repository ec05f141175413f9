package org.hemlockgw.daemon.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.flogger.FluentLogger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.config.ClientAccount;

/**
 * Authenticates requests, routes them to their endpoint and turns failures into error
 * responses.
 */
final class EntryHandler implements HttpRequestHandler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The balancer sends the next attempt to another daemon within its 1 s. */
	private static final Duration DRAIN_RETRY = Duration.ofSeconds(1);

	private static final String PROGRAMS = "/v1/programs";

	private static final String CHAT = "/v1/chat/completions";

	private static final String SERVICES = "/v1/services/";

	private final EntryContext context;

	private final Authenticator authenticator;

	private final ProgramEndpoint programs;

	private final CallEndpoint calls;

	private final AtomicInteger open = new AtomicInteger();

	private volatile boolean draining;

	EntryHandler(EntryContext context) {
		this.context = context;
		this.authenticator = new Authenticator(context.blackboard().configuration());
		this.programs = new ProgramEndpoint(context);
		this.calls = new CallEndpoint(context);
	}

	int open() {
		return this.open.get();
	}

	void startDraining() {
		this.draining = true;
	}

	@Override
	public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext http) {
		this.open.incrementAndGet();
		this.context.metrics().meter("entry.requests").mark();
		Exchange exchange = new Exchange(request, response, this.open::decrementAndGet);
		if (this.draining) {
			exchange.header(HttpHeaders.CONNECTION, "close");
		}
		try {
			exchange.identify(exchange.headers().requestId());
			ClientAccount account = this.authenticator.authenticate(exchange.headers().text(HttpHeaders.AUTHORIZATION));
			route(exchange, account, request.getPath());
		}
		catch (CallFailure failure) {
			fail(exchange, failure);
		}
		catch (IOException ex) {
			fail(exchange, CallFailure.notRun(ErrorCode.BAD_REQUEST, "body could not be read: " + ex.getMessage()));
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("request %s %s failed", request.getMethod(), request.getPath());
			fail(exchange, new CallFailure(ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "unexpected fault: " + ex));
		}
	}

	private void fail(Exchange exchange, CallFailure failure) {
		this.context.metrics().counter("entry.failures." + failure.code().wireName()).inc();
		exchange.fail(failure);
	}

	private void route(Exchange exchange, ClientAccount account, String path) throws IOException {
		if (path.equals(CHAT)) {
			requireMethod(exchange, "POST");
			this.calls.chat(exchange, account);
			return;
		}
		if (path.equals(PROGRAMS)) {
			requireMethod(exchange, "POST");
			refuseWhenDraining();
			this.programs.open(exchange, account);
			return;
		}
		if (path.startsWith(PROGRAMS + "/")) {
			program(exchange, account, path.substring(PROGRAMS.length() + 1));
			return;
		}
		int slash = path.indexOf('/', SERVICES.length());
		if (path.startsWith(SERVICES) && slash > 0) {
			requireMethod(exchange, "POST");
			this.calls.service(exchange, account, path.substring(SERVICES.length(), slash), path.substring(slash + 1));
			return;
		}
		throw CallFailure.notRun(ErrorCode.NOT_FOUND, "path must be " + PROGRAMS + ", " + PROGRAMS + "/{id}, " + CHAT
				+ " or " + SERVICES + "{backend server}/{path}, was " + path);
	}

	private void program(Exchange exchange, ClientAccount account, String name) {
		switch (exchange.method()) {
			case "GET" -> this.programs.get(exchange, account, name);
			case "DELETE" -> this.programs.end(exchange, account, name);
			default -> throw JsonFields.bad("method", exchange.method(), "GET or DELETE");
		}
	}

	private void refuseWhenDraining() {
		if (this.draining) {
			throw new CallFailure(ErrorCode.SHUTTING_DOWN, Verdict.NOT_RUN,
					"this daemon is shutting down and opens no programs", DRAIN_RETRY);
		}
	}

	private static void requireMethod(Exchange exchange, String method) {
		if (!exchange.method().equals(method)) {
			throw JsonFields.bad("method", exchange.method(), method);
		}
	}

}

package org.hemlockgw.daemon.entry;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import org.apache.hc.core5.http.ContentType;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * Model calls and plain service calls of programs.
 */
final class CallEndpoint {

	/** Longer than the routing's own grace, which knows a better verdict. */
	private static final Duration DEADLINE_GRACE = Duration.ofSeconds(2);

	private static final Pattern SERVICE_PATH = Pattern.compile("[\\x21-\\x7e]{1,1024}");

	private final EntryContext context;

	CallEndpoint(EntryContext context) {
		this.context = context;
	}

	void chat(Exchange exchange, ClientAccount account) throws IOException {
		CallHeaders headers = exchange.headers();
		ChatRequest chat = ChatRequest.parse(exchange.body());
		if (!account.models().contains(chat.model())) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND, "model must be one of " + sorted(account.models())
					+ " for client account " + account.name() + ", was '" + chat.model() + "'");
		}
		Span span = start(exchange);
		CallRequest request = new CallRequest(headers.program(account.name()), exchange.requestId(), headers.step(),
				CallKind.MODEL, chat.model(), true, headers.flag("X-Hemlock-Append"), chat.messages(), chat.maxTokens(),
				"", new byte[0], deadline(limits().modelTimeout()), Tracing.traceparent(span));
		AnswerBuffer answer = call(request, span);
		ChatBodies bodies = new ChatBodies(exchange.requestId(), chat.model(),
				this.context.clock().instant().getEpochSecond());
		if (!chat.stream()) {
			CallResult result = await(answer);
			exchange.ran();
			exchange.json(200, bodies.completion(result));
			return;
		}
		await(answer::await);
		CallFailure failure = answer.failure();
		if (failure != null && !answer.hasText()) {
			throw failure;
		}
		exchange.events((out) -> stream(out, answer, bodies, exchange.requestId()));
	}

	void service(Exchange exchange, ClientAccount account, String service, String path) throws IOException {
		CallHeaders headers = exchange.headers();
		if (!account.services().contains(service)) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND, "service must be one of " + sorted(account.services())
					+ " for client account " + account.name() + ", was '" + service + "'");
		}
		if (!SERVICE_PATH.matcher(path).matches()) {
			throw JsonFields.bad("service path", path, "1 to 1024 visible ASCII characters");
		}
		byte[] body = exchange.body();
		Span span = start(exchange);
		CallRequest request = new CallRequest(headers.program(account.name()), exchange.requestId(), headers.step(),
				CallKind.SERVICE, service, headers.flag("X-Hemlock-Idempotent"), false, List.of(), 0, path, body,
				deadline(limits().serviceTimeout()), Tracing.traceparent(span));
		CallResult result = await(call(request, span));
		exchange.ran();
		exchange.bytes(result.status(), ContentType.APPLICATION_OCTET_STREAM, result.body());
	}

	private Span start(Exchange exchange) {
		Span span = this.context.tracing().start("entry", exchange.headers().traceparent());
		span.setAttribute("request", exchange.requestId());
		exchange.header("traceparent", Tracing.traceparent(span));
		return span;
	}

	private AnswerBuffer call(CallRequest request, Span span) {
		span.setAttribute("program", request.program().toString());
		this.context.journal()
			.record(request.program(), request.requestId(), "entry", "received", "the caller sent it here");
		AnswerBuffer answer = new AnswerBuffer();
		long untilMs = Duration.between(this.context.clock().instant(), request.deadline())
			.plus(DEADLINE_GRACE)
			.toMillis();
		// The answer ends even if the caller is gone, since it may come back with the
		// same
		// idempotency key.
		this.context.programs()
			.call(request, answer)
			.orTimeout(untilMs, TimeUnit.MILLISECONDS)
			.whenComplete((result, thrown) -> {
				CallFailure failure = (thrown != null) ? failure(thrown) : null;
				ended(request, span, failure);
				answer.end(result, failure);
			});
		return answer;
	}

	private void ended(CallRequest request, Span span, @Nullable CallFailure failure) {
		String event = (failure != null) ? "failed" : "answered";
		String reason = (failure != null)
				? failure.code().wireName() + ", " + failure.verdict() + ": " + failure.getMessage()
				: "the call ran to its end";
		this.context.journal().record(request.program(), request.requestId(), "entry", event, reason);
		if (failure != null) {
			span.setStatus(StatusCode.ERROR, failure.code().wireName());
		}
		span.end();
	}

	private static CallFailure failure(Throwable thrown) {
		if (thrown instanceof TimeoutException) {
			return CallFailure.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, "no answer before the deadline");
		}
		return CallFailure.of(thrown);
	}

	private static CallResult await(AnswerBuffer answer) {
		while (true) {
			await(answer::await);
			answer.take();
			CallFailure failure = answer.failure();
			if (failure != null) {
				throw failure;
			}
			CallResult result = answer.result();
			if (result != null) {
				return result;
			}
		}
	}

	private static void await(Wait wait) {
		try {
			wait.run();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CallFailure.mayHaveRun(ErrorCode.SHUTTING_DOWN, "this daemon stopped before the answer");
		}
	}

	private static void stream(OutputStream out, AnswerBuffer answer, ChatBodies bodies, String requestId)
			throws IOException {
		while (true) {
			try {
				answer.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new InterruptedIOException("the daemon stopped before the answer");
			}
			// The end is read before the text, so that no text is left behind it.
			CallResult result = answer.result();
			CallFailure failure = answer.failure();
			String text = answer.take();
			if (!text.isEmpty()) {
				send(out, bodies.chunk(text));
			}
			if (failure != null) {
				send(out, Exchange.error(failure, requestId));
				return;
			}
			if (result != null) {
				send(out, bodies.lastChunk(result));
				out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
				return;
			}
		}
	}

	private static void send(OutputStream out, JsonNode body) throws IOException {
		out.write(("data: " + body + "\n\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private Limits limits() {
		return this.context.blackboard().configuration().get().limits();
	}

	private Instant deadline(Duration timeout) {
		return this.context.clock().instant().plus(timeout);
	}

	private static List<String> sorted(Collection<String> names) {
		return names.stream().sorted().toList();
	}

	/**
	 * A wait that may be interrupted.
	 */
	private interface Wait {

		void run() throws InterruptedException;

	}

}

package org.hemlockgw.daemon.admin;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.opentelemetry.sdk.trace.data.SpanData;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpContext;

import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigSnapshot;

/**
 * Answers the requests of the admin listener.
 */
final class AdminHandler implements HttpRequestHandler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String EXPLAIN = "/explain/";

	private static final String TRACES = "/traces/";

	private static final String DRAIN = "/drain";

	private final AdminSources sources;

	private final AtomicBoolean draining = new AtomicBoolean();

	AdminHandler(AdminSources sources) {
		this.sources = sources;
	}

	@Override
	public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		Reply reply;
		try {
			reply = reply(request.getMethod(), path(request));
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("Cannot answer %s %s", request.getMethod(), request.getPath());
			reply = error(500, "internal error");
		}
		response.setCode(reply.status());
		// Requests are rare; open connections would delay the shutdown of the listener.
		response.setHeader(HttpHeaders.CONNECTION, "close");
		response.setEntity(new ByteArrayEntity(MAPPER.writeValueAsBytes(reply.body()), ContentType.APPLICATION_JSON));
	}

	private Reply reply(String method, String path) {
		String allowed = path.equals(DRAIN) ? "POST" : "GET";
		if (!method.equals(allowed)) {
			return error(405, "method " + method + "; allowed: " + allowed);
		}
		if (path.startsWith(EXPLAIN)) {
			return explain(path.substring(EXPLAIN.length()));
		}
		if (path.startsWith(TRACES)) {
			return trace(path.substring(TRACES.length()));
		}
		return switch (path) {
			case "/ready" -> ready();
			case "/metrics" -> new Reply(200, MetricsJson.write(this.sources.metrics()));
			case "/status" -> new Reply(200, StatusJson.write(this.sources.incarnation().get(),
					this.sources.readiness().get(), this.sources.blackboard()));
			case "/config" -> configuration();
			case DRAIN -> drain();
			default -> error(404, "path " + path
					+ "; allowed: /ready, /metrics, /status, /config, /explain/{request}, /traces/{trace}, /drain");
		};
	}

	private Reply ready() {
		Readiness readiness = this.sources.readiness().get();
		ObjectNode body = object().put("ready", readiness.ready()).put("detail", readiness.detail());
		return new Reply(readiness.ready() ? 200 : 503, body);
	}

	private Reply configuration() {
		Optional<ConfigSnapshot> snapshot = this.sources.configuration().get();
		return snapshot.map((value) -> new Reply(200, ConfigCodec.toJson(value)))
			.orElseGet(() -> error(503, "no configuration has been read yet"));
	}

	private Reply explain(String request) {
		List<MemoryJournal.Event> events = this.sources.journal().find(request);
		if (events.isEmpty()) {
			return error(404, "no event of request " + request + " is kept here");
		}
		return new Reply(200, ExplainJson.events(request, this.sources.incarnation().get().vm(), events));
	}

	private Reply trace(String trace) {
		List<SpanData> spans = this.sources.spans().find(trace);
		if (spans.isEmpty()) {
			return error(404, "no span of trace " + trace + " is kept here");
		}
		return new Reply(200, ExplainJson.spans(trace, spans));
	}

	private Reply drain() {
		if (this.draining.compareAndSet(false, true)) {
			logger.atInfo().log("Graceful shutdown requested on the admin listener");
			new Thread(this.sources.drain(), "drain").start();
		}
		return new Reply(202, object().put("draining", true));
	}

	private static String path(ClassicHttpRequest request) {
		String path = request.getPath();
		int query = path.indexOf('?');
		return (query >= 0) ? path.substring(0, query) : path;
	}

	private static Reply error(int status, String message) {
		return new Reply(status, object().put("error", message));
	}

	private static ObjectNode object() {
		return JsonNodeFactory.instance.objectNode();
	}

	private record Reply(int status, ObjectNode body) {
	}

}

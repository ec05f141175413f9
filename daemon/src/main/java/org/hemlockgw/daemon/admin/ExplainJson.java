package org.hemlockgw.daemon.admin;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.sdk.trace.data.SpanData;

/**
 * Writes the events of a request and the spans of a trace as JSON.
 */
final class ExplainJson {

	private static final AttributeKey<String> INSTANCE = AttributeKey.stringKey("service.instance.id");

	private ExplainJson() {
	}

	static ObjectNode events(String requestId, String vm, List<MemoryJournal.Event> events) {
		ObjectNode json = JsonNodeFactory.instance.objectNode().put("request", requestId);
		ArrayNode array = json.putArray("events");
		for (MemoryJournal.Event event : events) {
			ObjectNode node = array.addObject().put("time", event.time().toString()).put("vm", vm);
			node.put("account", event.program().account()).put("program", event.program().name());
			node.put("hop", event.hop()).put("event", event.event()).put("reason", event.reason());
		}
		return json;
	}

	static ObjectNode spans(String traceId, List<SpanData> spans) {
		ObjectNode json = JsonNodeFactory.instance.objectNode().put("trace", traceId);
		ArrayNode array = json.putArray("spans");
		for (SpanData span : spans) {
			ObjectNode node = array.addObject().put("span", span.getSpanId()).put("parent", span.getParentSpanId());
			node.put("name", span.getName()).put("vm", span.getResource().getAttribute(INSTANCE));
			node.put("start", time(span.getStartEpochNanos()).toString());
			node.put("duration_us", TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos()));
			node.put("status", span.getStatus().getStatusCode().name());
			ObjectNode attributes = node.putObject("attributes");
			span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), String.valueOf(value)));
		}
		return json;
	}

	private static Instant time(long epochNanos) {
		return Instant.ofEpochSecond(0, epochNanos);
	}

}

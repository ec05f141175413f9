package org.hemlockgw.daemon.trace;

import java.util.Map;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import org.jspecify.annotations.Nullable;

/**
 * Starts spans and converts their context to and from W3C {@code traceparent} values.
 */
public final class Tracing implements AutoCloseable {

	private static final String TRACEPARENT = "traceparent";

	private static final TextMapGetter<Map<String, String>> GETTER = new MapGetter();

	private final SpanStore store = new SpanStore();

	private final SdkTracerProvider provider;

	private final Tracer tracer;

	public Tracing(String vm) {
		Resource resource = Resource.create(Attributes.of(AttributeKey.stringKey("service.instance.id"), vm));
		this.provider = SdkTracerProvider.builder()
			.setResource(resource)
			.addSpanProcessor(SimpleSpanProcessor.create(this.store))
			.build();
		this.tracer = this.provider.get("hemlockgw");
	}

	/**
	 * Starts a span.
	 * @param name name of the hop: {@code entry}, {@code owner}, {@code dispatcher} or
	 * {@code backend}
	 * @param traceparent context of the previous hop, or empty for a new trace
	 * @return the span, to be ended by the caller
	 */
	public Span start(String name, String traceparent) {
		Context parent = W3CTraceContextPropagator.getInstance()
			.extract(Context.root(), Map.of(TRACEPARENT, traceparent), GETTER);
		return this.tracer.spanBuilder(name).setParent(parent).startSpan();
	}

	public static String traceparent(Span span) {
		String[] value = { "" };
		W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), value, (carrier, key, text) -> {
			if (carrier != null && key.equals(TRACEPARENT)) {
				carrier[0] = text;
			}
		});
		return value[0];
	}

	public SpanStore store() {
		return this.store;
	}

	@Override
	public void close() {
		this.provider.close();
	}

	private static final class MapGetter implements TextMapGetter<Map<String, String>> {

		@Override
		public Iterable<String> keys(Map<String, String> carrier) {
			return carrier.keySet();
		}

		@Override
		public @Nullable String get(@Nullable Map<String, String> carrier, String key) {
			return (carrier != null) ? carrier.get(key) : null;
		}

	}

}

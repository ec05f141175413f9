package org.hemlockgw.daemon.trace;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;

/**
 * Keeps the latest finished spans in memory for the admin endpoint.
 */
public final class SpanStore implements SpanExporter {

	private static final int MAX_SPANS = 4096;

	private final Deque<SpanData> spans = new ArrayDeque<>();

	@Override
	public synchronized CompletableResultCode export(Collection<SpanData> batch) {
		for (SpanData span : batch) {
			if (this.spans.size() >= MAX_SPANS) {
				this.spans.removeFirst();
			}
			this.spans.addLast(span);
		}
		return CompletableResultCode.ofSuccess();
	}

	/**
	 * Returns the finished spans of a trace that this daemon still holds.
	 * @param traceId trace identifier, 32 hex digits
	 * @return the spans in order of their end
	 */
	public synchronized List<SpanData> find(String traceId) {
		return this.spans.stream().filter((span) -> span.getTraceId().equals(traceId)).toList();
	}

	@Override
	public CompletableResultCode flush() {
		return CompletableResultCode.ofSuccess();
	}

	@Override
	public CompletableResultCode shutdown() {
		return CompletableResultCode.ofSuccess();
	}

}

package org.hemlockgw.remote;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.platform.EngineChunk;
import org.hemlockgw.core.program.Usage;

/**
 * Reads an engine's stream of server-sent events. A stream is complete only with its last
 * event and {@code [DONE]}.
 */
final class EngineStreamReader {

	private static final String ID = "id:";

	private static final String DATA = "data:";

	private static final String DONE = "[DONE]";

	/** Maximum length of a line; an event is one token with its metadata. */
	private static final int MAX_LINE_CHARS = 64 * 1024;

	private final Consumer<EngineChunk> events;

	private long offset = -1;

	private @Nullable EngineChunk last;

	EngineStreamReader(Consumer<EngineChunk> events) {
		this.events = events;
	}

	EngineChunk read(ClassicHttpResponse response) throws IOException {
		HttpCalls.checkStatus(response);
		HttpEntity entity = response.getEntity();
		if (entity == null) {
			throw new IOException("the stream has no body");
		}
		// The body is not closed, because that would read the rest of it.
		BufferedReader lines = new BufferedReader(new InputStreamReader(entity.getContent(), StandardCharsets.UTF_8));
		for (String line = readLine(lines); line != null; line = readLine(lines)) {
			if (line.startsWith(ID)) {
				this.offset = Long.parseLong(line.substring(ID.length()).strip());
			}
			if (line.startsWith(DATA)) {
				event(line.substring(DATA.length()).strip());
			}
		}
		if (this.last == null) {
			throw new IOException("the stream ended ahead of its last event");
		}
		return this.last;
	}

	private static @Nullable String readLine(BufferedReader in) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (line.length() >= MAX_LINE_CHARS) {
				throw new IOException("a line of the stream is longer than " + MAX_LINE_CHARS + " characters");
			}
			if (next != '\r') {
				line.append((char) next);
			}
			next = in.read();
		}
		return line.toString();
	}

	private void event(String data) throws IOException {
		if (data.equals(DONE)) {
			return;
		}
		JsonNode chunk = HttpCalls.JSON.readTree(data);
		if (chunk.has("error")) {
			throw new IOException("the engine reported an error: " + chunk.path("error"));
		}
		if (this.offset < 0) {
			throw new IOException("an event has no id");
		}
		JsonNode choice = chunk.path("choices").path(0);
		String finishReason = choice.path("finish_reason").textValue();
		EngineChunk parsed = new EngineChunk(this.offset, chunk.path("tokens").asInt(0),
				choice.path("delta").path("content").asText(""), finishReason, usage(chunk.path("usage")));
		if (finishReason != null) {
			this.last = parsed;
		}
		this.events.accept(parsed);
	}

	private static @Nullable Usage usage(JsonNode usage) {
		if (!usage.isObject()) {
			return null;
		}
		return new Usage(usage.path("prompt_tokens").asLong(),
				usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
				usage.path("completion_tokens").asLong());
	}

}

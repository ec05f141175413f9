package org.hemlockgw.standins.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hemlockgw.standins.http.Json;

/**
 * Writes a stream as server-sent events of chat-completions chunks.
 */
final class EngineEvents {

	private final EngineStream stream;

	private final OutputStream out;

	EngineEvents(EngineStream stream, OutputStream out) {
		this.stream = stream;
		this.out = out;
	}

	void token(long index) throws IOException {
		String text = EngineText.token(this.stream.digest(), index);
		Map<String, Object> chunk = chunk(Map.of("index", 0, "delta", Map.of("content", text)));
		chunk.put("tokens", 1);
		event(index, Json.MAPPER.writeValueAsString(chunk));
	}

	void end(long offset) throws IOException {
		EngineJob job = this.stream.job();
		Map<String, Object> chunk = chunk(Map.of("index", 0, "delta", Map.of(), "finish_reason", "length"));
		chunk.put("tokens", 0);
		chunk.put("usage",
				Map.of("prompt_tokens", job.promptTokens(), "completion_tokens", job.maxTokens() - job.firstOffset(),
						"prompt_tokens_details", Map.of("cached_tokens", this.stream.cachedTokens())));
		event(offset, Json.MAPPER.writeValueAsString(chunk));
		this.out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
	}

	private Map<String, Object> chunk(Map<String, Object> choice) {
		Map<String, Object> chunk = new LinkedHashMap<>();
		chunk.put("id", this.stream.job().id());
		chunk.put("object", "chat.completion.chunk");
		chunk.put("model", this.stream.model());
		chunk.put("choices", List.of(choice));
		return chunk;
	}

	private void event(long offset, String data) throws IOException {
		this.out.write(("id: " + offset + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
	}

}

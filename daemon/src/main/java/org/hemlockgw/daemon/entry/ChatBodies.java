package org.hemlockgw.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.Usage;

/**
 * Builds answers in the chat-completions shape.
 */
final class ChatBodies {

	private final String requestId;

	private final String model;

	private final long createdSeconds;

	ChatBodies(String requestId, String model, long createdSeconds) {
		this.requestId = requestId;
		this.model = model;
		this.createdSeconds = createdSeconds;
	}

	ObjectNode completion(CallResult result) {
		ObjectNode body = head("chat.completion");
		ObjectNode choice = body.putArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", result.text());
		choice.put("finish_reason", result.finishReason());
		tail(body, result);
		return body;
	}

	ObjectNode chunk(String text) {
		ObjectNode body = head("chat.completion.chunk");
		ObjectNode choice = body.putArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("delta").put("role", "assistant").put("content", text);
		choice.putNull("finish_reason");
		return body;
	}

	ObjectNode lastChunk(CallResult result) {
		ObjectNode body = head("chat.completion.chunk");
		ObjectNode choice = body.putArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("delta");
		choice.put("finish_reason", result.finishReason());
		tail(body, result);
		return body;
	}

	private ObjectNode head(String object) {
		ObjectNode body = JsonFields.mapper().createObjectNode();
		body.put("id", "chatcmpl-" + this.requestId);
		body.put("object", object);
		body.put("created", this.createdSeconds);
		body.put("model", this.model);
		return body;
	}

	private static void tail(ObjectNode body, CallResult result) {
		Usage usage = result.usage();
		ObjectNode tokens = body.putObject("usage");
		tokens.put("prompt_tokens", usage.promptTokens());
		tokens.put("completion_tokens", usage.completionTokens());
		tokens.put("total_tokens", usage.chargedTokens());
		tokens.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
		body.put("turn", result.turn());
		body.put("durable", result.durable());
	}

}

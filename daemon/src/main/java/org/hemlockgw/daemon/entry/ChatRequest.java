package org.hemlockgw.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

import org.hemlockgw.core.program.Message;

/**
 * Body of a model call in the chat-completions shape. Fields that tune sampling are
 * ignored; fields that would change the shape of the answer are refused.
 *
 * @param model model name
 * @param messages messages, at least one
 * @param maxTokens most tokens to generate
 * @param stream whether the answer is server-sent events
 */
record ChatRequest(String model, List<Message> messages, int maxTokens, boolean stream) {

	/** Used where the caller states no limit; the budget reserves it in full. */
	static final int DEFAULT_MAX_TOKENS = 1024;

	private static final int MAX_MAX_TOKENS = 131_072;

	private static final Set<String> ROLES = Set.of("system", "user", "assistant", "tool");

	private static final List<String> UNSUPPORTED = List.of("tools", "functions", "logprobs", "response_format");

	static ChatRequest parse(byte[] body) {
		JsonFields fields = JsonFields.parse(body);
		for (String field : UNSUPPORTED) {
			JsonNode value = fields.get(field);
			if (fields.has(field) && !value.equals(JsonFields.mapper().getNodeFactory().booleanNode(false))) {
				throw JsonFields.bad(field, value, "absent, because it is not supported");
			}
		}
		fields.optionalLong("n", 1, 1, 1);
		String limit = fields.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
		int maxTokens = (int) fields.optionalLong(limit, 1, MAX_MAX_TOKENS, DEFAULT_MAX_TOKENS);
		return new ChatRequest(fields.requiredText("model"), messages(fields.get("messages")), maxTokens,
				fields.optionalBoolean("stream"));
	}

	private static List<Message> messages(JsonNode array) {
		if (!array.isArray() || array.isEmpty()) {
			throw JsonFields.bad("messages", array, "a non-empty list");
		}
		List<Message> messages = new ArrayList<>(array.size());
		for (int i = 0; i < array.size(); i++) {
			messages.add(message("messages[" + i + "]", array.get(i)));
		}
		return List.copyOf(messages);
	}

	private static Message message(String field, JsonNode node) {
		JsonNode role = node.path("role");
		if (!role.isTextual() || !ROLES.contains(role.textValue())) {
			throw JsonFields.bad(field + ".role", role, "system, user, assistant or tool");
		}
		return new Message(role.textValue(), content(field + ".content", node.path("content")));
	}

	private static String content(String field, JsonNode node) {
		if (node.isTextual()) {
			return node.textValue();
		}
		if (!node.isArray()) {
			throw JsonFields.bad(field, node, "a text or a list of text parts");
		}
		StringBuilder text = new StringBuilder();
		for (JsonNode part : node) {
			if (!part.path("type").asText().equals("text") || !part.path("text").isTextual()) {
				throw JsonFields.bad(field, part, "a text or a list of text parts");
			}
			text.append(part.path("text").textValue());
		}
		return text.toString();
	}

}

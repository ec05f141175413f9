package org.hemlockgw.standins.engine;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.program.Message;
import org.hemlockgw.standins.http.HttpRejection;

/**
 * Body of a generation request.
 *
 * @param model model name
 * @param messages the prompt
 * @param maxTokens most tokens of the answer, a partial answer included
 */
record ChatRequest(@Nullable String model, @Nullable List<ChatMessage> messages, @Nullable Integer maxTokens) {

	private static final int DEFAULT_MAX_TOKENS = 16;

	/**
	 * Returns the prompt without a trailing partial answer.
	 * @return the messages
	 */
	List<Message> prompt() {
		List<Message> prompt = new ArrayList<>();
		for (ChatMessage m : all()) {
			if (!m.isPartial()) {
				prompt.add(new Message(m.role(), m.content()));
			}
		}
		return prompt;
	}

	/**
	 * Returns the answer so far.
	 * @return content of a trailing partial assistant message, or empty
	 */
	String partialAnswer() {
		List<ChatMessage> all = all();
		ChatMessage last = all.get(all.size() - 1);
		return last.isPartial() ? last.content() : "";
	}

	int limit() {
		return (this.maxTokens != null) ? this.maxTokens : DEFAULT_MAX_TOKENS;
	}

	String modelName() {
		return (this.model != null) ? this.model : "";
	}

	void check() {
		if (this.messages == null || this.messages.isEmpty()) {
			throw new HttpRejection(400, "messages must not be empty");
		}
		for (int i = 0; i < this.messages.size(); i++) {
			ChatMessage m = this.messages.get(i);
			if (m.role() == null || m.content() == null) {
				throw new HttpRejection(400, "messages[" + i + "] must have role and content");
			}
			if (m.isPartial() && (i < this.messages.size() - 1 || !m.role().equals("assistant"))) {
				throw new HttpRejection(400,
						"messages[" + i + "].partial is allowed for a last assistant message only");
			}
		}
		if (limit() < 1) {
			throw new HttpRejection(400, "max_tokens must be at least 1, was " + limit());
		}
	}

	private List<ChatMessage> all() {
		return (this.messages != null) ? this.messages : List.of();
	}

	/**
	 * One message of the prompt.
	 *
	 * @param role role of its author
	 * @param content the text
	 * @param partial whether it is an answer to be continued
	 */
	record ChatMessage(String role, String content, @Nullable Boolean partial) {

		boolean isPartial() {
			return Boolean.TRUE.equals(this.partial);
		}

	}

}

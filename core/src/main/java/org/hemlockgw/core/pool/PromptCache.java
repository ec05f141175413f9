package org.hemlockgw.core.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimate of the prompt parts that one engine holds, least recently used first.
 */
final class PromptCache {

	/** Parts remembered for one engine; a part is some hundred tokens of its memory. */
	private static final int MAX_PARTS = 512;

	private final Map<String, Boolean> parts = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PARTS;
		}
	};

	/**
	 * Counts the tokens that need not be read again. A part counts only if all parts
	 * before it are held.
	 * @param prompt parts in order
	 * @return tokens
	 */
	int held(List<PromptPart> prompt) {
		int tokens = 0;
		for (PromptPart part : prompt) {
			if (!this.parts.containsKey(part.id())) {
				return tokens;
			}
			tokens += part.tokens();
		}
		return tokens;
	}

	void add(List<PromptPart> prompt) {
		prompt.forEach((part) -> this.parts.put(part.id(), Boolean.TRUE));
	}

}

package org.hemlockgw.core.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts an engine has cached, as an LRU set of part identifiers.
 */
final class PromptCache {

	/**
	 * Maximum number of parts tracked for one engine. A part stands for a few hundred
	 * tokens of the engine's cache.
	 */
	private static final int MAX_PARTS = 512;

	private final Map<String, Boolean> parts = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PARTS;
		}
	};

	/**
	 * Returns the number of leading prompt tokens that need not be recomputed. A part is
	 * counted only if all parts before it are cached too.
	 * @param prompt parts in order
	 * @return the number of cached tokens
	 */
	int countCachedTokens(List<PromptPart> prompt) {
		int tokens = 0;
		for (PromptPart part : prompt) {
			if (!this.parts.containsKey(part.id())) {
				return tokens;
			}
			tokens += part.tokens();
		}
		return tokens;
	}

	void markCached(List<PromptPart> prompt) {
		prompt.forEach((part) -> this.parts.put(part.id(), Boolean.TRUE));
	}

}

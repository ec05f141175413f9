package org.hemlockgw.core.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts an engine has cached: the most recently used ones that fit
 * into its memory. Not thread-safe.
 */
final class PromptCache {

	/**
	 * Maximum number of parts tracked for one engine. It bounds the memory of the daemon
	 * if callers declare very small parts.
	 */
	private static final int MAX_PARTS = 512;

	private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Returns the number of leading prompt tokens that need not be read again. A part is
	 * counted only if all parts before it are cached too.
	 * @param prompt parts in order
	 * @return the number of cached tokens
	 */
	long countCachedTokens(List<PromptPart> prompt) {
		long cached = 0;
		for (PromptPart part : prompt) {
			if (!this.parts.containsKey(part.id())) {
				return cached;
			}
			cached += Math.max(0, part.tokens());
		}
		return cached;
	}

	/**
	 * Records that the engine has read a prompt.
	 * @param prompt parts in order
	 * @param capacity number of tokens for which the engine has memory
	 */
	void markCached(List<PromptPart> prompt, long capacity) {
		// Later parts are useless without the earlier ones, so these are evicted last.
		for (int i = prompt.size() - 1; i >= 0; i--) {
			PromptPart part = prompt.get(i);
			int size = Math.max(0, part.tokens());
			Integer previous = this.parts.put(part.id(), size);
			this.tokens += size - ((previous != null) ? previous : 0);
		}
		Iterator<Integer> oldest = this.parts.values().iterator();
		while (this.parts.size() > MAX_PARTS || (this.tokens > capacity && !this.parts.isEmpty())) {
			this.tokens -= oldest.next();
			oldest.remove();
		}
	}

}

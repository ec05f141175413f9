package org.hemlockgw.core.program;

/**
 * Tokens of one call as reported by the engine.
 *
 * @param promptTokens tokens of the whole prompt
 * @param cachedTokens prompt tokens that were served from the engine's prefix cache
 * @param completionTokens tokens generated
 */
public record Usage(long promptTokens, long cachedTokens, long completionTokens) {

	/** No tokens. */
	public static final Usage NONE = new Usage(0, 0, 0);

	/**
	 * Returns what the call costs its program.
	 * @return prompt and completion tokens
	 */
	public long chargedTokens() {
		return this.promptTokens + this.completionTokens;
	}

}

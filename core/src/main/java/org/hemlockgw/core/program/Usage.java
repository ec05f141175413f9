package org.hemlockgw.core.program;

/**
 * Token usage of one call as reported by the engine.
 *
 * @param promptTokens tokens of the full prompt
 * @param cachedTokens prompt tokens found in the engine's prefix cache
 * @param completionTokens generated tokens
 */
public record Usage(long promptTokens, long cachedTokens, long completionTokens) {

	/** No tokens. */
	public static final Usage NONE = new Usage(0, 0, 0);

	/**
	 * Returns the tokens that are charged to the program.
	 * @return sum of prompt and completion tokens
	 */
	public long chargedTokens() {
		return this.promptTokens + this.completionTokens;
	}

}

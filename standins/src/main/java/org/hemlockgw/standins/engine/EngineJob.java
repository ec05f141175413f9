package org.hemlockgw.standins.engine;

/**
 * A request as the engine's model sees it.
 *
 * @param id request identifier
 * @param session cache session
 * @param promptTokens tokens of the prompt, with the answer so far; at least 1
 * @param firstOffset tokens of the answer so far
 * @param maxTokens token index at which the answer ends; above {@code firstOffset}
 */
public record EngineJob(String id, String session, long promptTokens, long firstOffset, long maxTokens) {

	public EngineJob {
		if (promptTokens < 1) {
			throw new IllegalArgumentException("promptTokens must be at least 1, was " + promptTokens);
		}
		if (firstOffset < 0 || maxTokens <= firstOffset) {
			throw new IllegalArgumentException(
					"maxTokens must be above firstOffset " + firstOffset + ", was " + maxTokens);
		}
	}

	/**
	 * Returns the tokens that the engine's memory holds at the end of the answer.
	 * @return prompt and generated tokens
	 */
	public long totalTokens() {
		return this.promptTokens + this.maxTokens - this.firstOffset;
	}

}

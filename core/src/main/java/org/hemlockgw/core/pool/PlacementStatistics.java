package org.hemlockgw.core.pool;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Counts reassigned sessions and prompt tokens that are read again. Not thread-safe.
 */
public final class PlacementStatistics {

	/**
	 * Maximum number of prompt parts that are remembered as read by some server. Older
	 * parts count as new.
	 */
	private static final int MAX_PARTS = 16_384;

	private final Map<ReassignmentCause, Long> reassignments = new EnumMap<>(ReassignmentCause.class);

	private final Map<String, Boolean> knownParts = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PARTS;
		}
	};

	private long rereadTokens;

	private long readTokens;

	void countReassignment(ReassignmentCause cause) {
		this.reassignments.merge(cause, 1L, Long::sum);
	}

	void countPrompt(List<PromptPart> prompt, long uncachedTokens) {
		long known = 0;
		for (PromptPart part : prompt) {
			if (this.knownParts.put(part.id(), Boolean.TRUE) != null) {
				known += Math.max(0, part.tokens());
			}
		}
		long cached = PoolServer.countTokens(prompt) - uncachedTokens;
		this.readTokens += uncachedTokens;
		this.rereadTokens += Math.max(0, known - cached);
	}

	/**
	 * Returns the number of reassigned sessions.
	 * @param cause the cause
	 * @return number since the start
	 */
	public long reassignments(ReassignmentCause cause) {
		return this.reassignments.getOrDefault(cause, 0L);
	}

	/**
	 * Returns the prompt tokens that servers are expected to read.
	 * @return number since the start
	 */
	public long readTokens() {
		return this.readTokens;
	}

	/**
	 * Returns the prompt tokens that are expected to be read again, although some server
	 * has read them before.
	 * @return number since the start
	 */
	public long rereadTokens() {
		return this.rereadTokens;
	}

	/**
	 * Returns the counters by name.
	 * @return name and value of each counter
	 */
	public Map<String, Long> counters() {
		Map<String, Long> counters = new LinkedHashMap<>();
		for (ReassignmentCause cause : ReassignmentCause.values()) {
			counters.put("sessions_reassigned_" + cause.name().toLowerCase(Locale.ROOT), reassignments(cause));
		}
		counters.put("prompt_tokens_read", this.readTokens);
		counters.put("prompt_tokens_reread", this.rereadTokens);
		return counters;
	}

}

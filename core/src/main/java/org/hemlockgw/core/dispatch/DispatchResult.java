package org.hemlockgw.core.dispatch;

import org.hemlockgw.core.program.Usage;

/**
 * Result of a finished attempt.
 *
 * @param text text delivered by this attempt, starting at {@code firstOffset}
 * @param usage token usage as reported by the engine
 * @param finishReason {@code stop} or {@code length}
 * @param load load of the engine after the attempt
 */
public record DispatchResult(String text, Usage usage, String finishReason, EngineLoad load) {
}

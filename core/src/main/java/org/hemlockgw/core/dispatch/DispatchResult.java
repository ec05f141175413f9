package org.hemlockgw.core.dispatch;

import org.hemlockgw.core.program.Usage;

/**
 * A finished attempt.
 *
 * @param text the text delivered by this attempt, from {@code firstOffset}
 * @param usage as the engine reported
 * @param finishReason {@code stop} or {@code length}
 * @param load the engine's load after the attempt
 */
public record DispatchResult(String text, Usage usage, String finishReason, EngineLoad load) {
}

package org.hemlockgw.core.platform;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.program.Usage;

/**
 * One event of an engine's stream.
 *
 * @param offset index of the first token of {@code text}, counted from the start of the
 * answer
 * @param tokens tokens in {@code text}
 * @param text the text
 * @param finishReason set on the last event
 * @param usage set on the last event
 */
public record EngineChunk(long offset, int tokens, String text, @Nullable String finishReason, @Nullable Usage usage) {
}

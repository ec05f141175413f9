package org.hemlockgw.core.platform;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.program.Usage;

/**
 * A chunk of an engine's response stream.
 *
 * @param offset index of the first token of {@code text}, counted from the start of the
 * answer
 * @param tokens number of tokens in {@code text}
 * @param text generated text
 * @param finishReason finish reason; set only on the last chunk
 * @param usage token usage; set only on the last chunk
 */
public record EngineChunk(long offset, int tokens, String text, @Nullable String finishReason, @Nullable Usage usage) {
}

package org.hemlockgw.core.program;

/**
 * Part of a streamed answer.
 *
 * @param offset index of the first token of {@code text} in the answer, from 0
 * @param tokens tokens in {@code text}
 * @param text the text
 */
public record CallEvent(long offset, int tokens, String text) {
}

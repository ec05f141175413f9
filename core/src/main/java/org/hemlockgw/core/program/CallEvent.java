package org.hemlockgw.core.program;

/**
 * A chunk of a streamed response.
 *
 * @param offset index of the first token of {@code text} in the response, from 0
 * @param tokens number of tokens in {@code text}
 * @param text generated text
 */
public record CallEvent(long offset, int tokens, String text) {
}

package org.hemlockgw.core.pool;

/**
 * Part of a prompt that an engine may have cached.
 *
 * @param id identifier of the part
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {
}

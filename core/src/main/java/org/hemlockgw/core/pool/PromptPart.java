package org.hemlockgw.core.pool;

/**
 * Part of a prompt that an engine may still hold.
 *
 * @param id identifier of the part
 * @param tokens its size
 */
public record PromptPart(String id, int tokens) {
}

package org.hemlockgw.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A change that an operator asks for.
 *
 * @param id unique identifier chosen by the sender
 * @param base version that the patch was written against
 * @param author who asks
 * @param reason why
 * @param patch merge patch (RFC 7396); a missing node in a history that does not keep it
 */
public record ConfigPatch(String id, long base, String author, String reason, JsonNode patch) implements ConfigRecord {
}

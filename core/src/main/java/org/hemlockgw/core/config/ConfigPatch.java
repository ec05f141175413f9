package org.hemlockgw.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A change requested by an operator.
 *
 * @param id unique identifier, chosen by the sender
 * @param base version to which the patch applies
 * @param author who requested the change
 * @param reason reason for the change
 * @param patch merge patch (RFC 7396); a missing node if the history does not keep its
 * content
 */
public record ConfigPatch(String id, long base, String author, String reason, JsonNode patch) implements ConfigRecord {
}

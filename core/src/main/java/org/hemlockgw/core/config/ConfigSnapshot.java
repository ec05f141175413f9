package org.hemlockgw.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The state after all records before an offset. Allows a reader to start without records
 * that have expired from the log.
 *
 * @param nextOffset offset of the first record that the snapshot does not include
 * @param version current version
 * @param document current document
 * @param history latest patches and the origin of each part of the document
 */
public record ConfigSnapshot(long nextOffset, long version, JsonNode document,
		ConfigHistory history) implements ConfigRecord {
}

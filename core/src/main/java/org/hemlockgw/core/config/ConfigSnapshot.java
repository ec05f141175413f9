package org.hemlockgw.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The fold of all records before an offset. It lets a reader start without the records
 * that the log has expired.
 *
 * @param nextOffset offset of the first record that the fold does not contain
 * @param version version in force
 * @param document document in force
 * @param history latest patches, and who changed what is in force
 */
public record ConfigSnapshot(long nextOffset, long version, JsonNode document,
		ConfigHistory history) implements ConfigRecord {
}

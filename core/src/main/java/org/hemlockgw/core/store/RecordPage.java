package org.hemlockgw.core.store;

import java.util.List;

/**
 * Some of the newest records of a shard, in the order of their keys.
 *
 * @param records records
 * @param hasMore whether more follow after the last key
 */
public record RecordPage(List<KeyedValue> records, boolean hasMore) {
}

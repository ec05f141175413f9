package org.hemlockgw.core.store;

import java.util.List;

/**
 * Page of the latest records of a shard, ordered by key.
 *
 * @param records records of the page
 * @param hasMore whether further records follow after the last key
 */
public record RecordPage(List<KeyedValue> records, boolean hasMore) {
}

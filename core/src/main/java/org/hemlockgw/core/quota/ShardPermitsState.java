package org.hemlockgw.core.quota;

import java.util.List;

/**
 * State of the client accounts of one shard that a holder hands over.
 *
 * @param emptyAgeMs time in milliseconds since all buckets were empty; accounts that are
 * not listed were unused since
 * @param accounts accounts whose buckets are not full
 */
public record ShardPermitsState(long emptyAgeMs, List<AccountLevel> accounts) {
}

package org.hemlockgw.gateway.owner;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.ShardHolders;

/**
 * Holder of each shard according to the newest assignment that this daemon has read.
 */
final class ShardHolderTable {

	private static final Logger logger = LoggerFactory.getLogger(ShardHolderTable.class);

	private final MemberName self;

	private final LongSupplier nanoClock;

	private final Map<Integer, PreviousHolder> previousHolders = new HashMap<>();

	private long generation;

	private Map<Integer, MemberName> holders = Map.of();

	ShardHolderTable(MemberName self, LongSupplier nanoClock) {
		this.self = self;
		this.nanoClock = nanoClock;
	}

	/**
	 * Replaces the holders unless the new ones are older than the current ones.
	 * @param found holders read from the store
	 * @return whether the holders were replaced
	 */
	boolean update(ShardHolders found) {
		if (found.generation() < this.generation) {
			return false;
		}
		Map<Integer, MemberName> updated = new HashMap<>();
		found.members().forEach((shard, member) -> {
			MemberName name = MemberName.parse(member);
			if (name == null) {
				logger.warn("ignoring the holder of shard {}: '{}' is not a valid member name", shard, member);
			}
			else {
				updated.put(shard, name);
			}
		});
		updated.forEach((shard, holder) -> recordHolder(shard, holder, found.generation()));
		this.generation = found.generation();
		this.holders = updated;
		return true;
	}

	// After a skipped generation another daemon may have held the shard in between.
	private void recordHolder(int shard, MemberName holder, long newGeneration) {
		if (holder.equals(this.self)) {
			return;
		}
		PreviousHolder known = this.previousHolders.get(shard);
		boolean continued = known != null && known.address().equals(holder.peerAddress())
				&& holder.equals(this.holders.get(shard)) && newGeneration <= known.generation() + 1;
		long sinceNanos = (continued && known != null) ? known.sinceNanos() : this.nanoClock.getAsLong();
		this.previousHolders.put(shard, new PreviousHolder(holder.peerAddress(), newGeneration, sinceNanos));
	}

	@Nullable PreviousHolder previousHolder(int shard) {
		return this.previousHolders.get(shard);
	}

	boolean isEmpty() {
		return this.holders.isEmpty();
	}

	Collection<MemberName> members() {
		return this.holders.values();
	}

	boolean isHeldBySelf(int shard) {
		return this.self.equals(this.holders.get(shard));
	}

	/**
	 * Returns the address of the holder of a shard.
	 * @param shard number of the shard
	 * @return peer address, or null if the holder is unknown or this daemon
	 */
	@Nullable String holderAddress(int shard) {
		MemberName holder = this.holders.get(shard);
		return (holder == null || holder.equals(this.self)) ? null : holder.peerAddress();
	}

	/**
	 * Returns the addresses of all other daemons that hold shards.
	 * @return peer addresses
	 */
	Set<String> peerAddresses() {
		Set<String> addresses = new HashSet<>();
		for (MemberName holder : this.holders.values()) {
			if (!holder.equals(this.self)) {
				addresses.add(holder.peerAddress());
			}
		}
		return addresses;
	}

}

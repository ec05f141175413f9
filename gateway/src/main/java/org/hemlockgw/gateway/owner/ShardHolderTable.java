package org.hemlockgw.gateway.owner;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.ShardHolders;

/**
 * Who holds which shard, as far as this daemon knows.
 */
final class ShardHolderTable {

	private static final Logger logger = LoggerFactory.getLogger(ShardHolderTable.class);

	private final MemberName self;

	private long generation;

	private Map<Integer, MemberName> names = Map.of();

	ShardHolderTable(MemberName self) {
		this.self = self;
	}

	/**
	 * Takes over what the store says, unless it is older than what is known.
	 * @param found the holders
	 * @return whether it was taken over
	 */
	boolean update(ShardHolders found) {
		if (found.generation() < this.generation) {
			return false;
		}
		Map<Integer, MemberName> next = new HashMap<>();
		found.members().forEach((shard, member) -> {
			MemberName name = MemberName.parse(member);
			if (name == null) {
				logger.warn("shard {} is held by '{}', which is no name of a daemon", shard, member);
			}
			else {
				next.put(shard, name);
			}
		});
		this.generation = found.generation();
		this.names = next;
		return true;
	}

	boolean isEmpty() {
		return this.names.isEmpty();
	}

	Collection<MemberName> members() {
		return this.names.values();
	}

	Map<Integer, MemberName> byShard() {
		return this.names;
	}

	boolean isHeldBySelf(int shard) {
		return this.self.equals(this.names.get(shard));
	}

	/**
	 * Returns the address of the holder of a shard.
	 * @param shard number of the shard
	 * @return peer address, or null if unknown or this daemon
	 */
	@Nullable String holderAddress(int shard) {
		MemberName holder = this.names.get(shard);
		return (holder == null || holder.equals(this.self)) ? null : holder.peerAddress();
	}

	/**
	 * Returns the addresses of all other daemons that hold shards.
	 * @return peer addresses
	 */
	Set<String> peerAddresses() {
		Set<String> found = new HashSet<>();
		for (MemberName holder : this.names.values()) {
			if (!holder.equals(this.self)) {
				found.add(holder.peerAddress());
			}
		}
		return found;
	}

}

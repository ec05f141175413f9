package org.hemlockgw.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.RendezvousHash;
import org.hemlockgw.core.common.StableHash;

/**
 * Assigns keys to daemons by weighted rendezvous hashing. When a daemon leaves, only the
 * keys assigned to it are reassigned.
 */
public final class DaemonSelection {

	private DaemonSelection() {
	}

	/**
	 * Returns the daemon to which a key is assigned.
	 * @param key the key
	 * @param daemons candidates
	 * @return the daemon with the highest score, or {@code null} if there are no
	 * candidates
	 */
	public static @Nullable Vm select(String key, Collection<Vm> daemons) {
		long hash = StableHash.of(key);
		return daemons.stream()
			.max(Comparator
				.comparingDouble((Vm vm) -> RendezvousHash.score(hash, StableHash.of(vm.name()), vm.weight()))
				.thenComparing(Vm::name))
			.orElse(null);
	}

	/**
	 * Returns the daemons with the highest scores for a key, computed with equal weights.
	 * @param key the key
	 * @param daemons candidates
	 * @param count maximum number of daemons to return
	 * @return the daemons in descending order of score
	 */
	public static List<Vm> topUnweighted(String key, Collection<Vm> daemons, int count) {
		long hash = StableHash.of(key);
		return daemons.stream()
			.sorted(Comparator.comparingDouble((Vm vm) -> -RendezvousHash.score(hash, StableHash.of(vm.name()), 1))
				.thenComparing(Vm::name))
			.limit(count)
			.toList();
	}

}

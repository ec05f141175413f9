package org.hemlockgw.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.StableHash;

/**
 * Weighted rendezvous hashing. When a daemon leaves, only the keys it held move.
 */
public final class RendezvousHash {

	private static final double TWO_POW_53 = 0x1.0p53;

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a daemon for a key; the highest score holds the key.
	 * @param key hash of the key
	 * @param node hash of the daemon's name
	 * @param weight relative size of the daemon
	 * @return the score, from 0
	 */
	public static double score(long key, long node, double weight) {
		if (!(weight > 0)) {
			return 0;
		}
		double unit = ((StableHash.combine(key, node) >>> 11) + 0.5) / TWO_POW_53;
		return -weight / Math.log(unit);
	}

	/**
	 * Returns the holder of a key.
	 * @param key the key
	 * @param daemons candidates
	 * @return the daemon with the highest score, or {@code null} when there are none
	 */
	public static @Nullable Vm select(String key, Collection<Vm> daemons) {
		long hash = StableHash.of(key);
		return daemons.stream()
			.max(Comparator.comparingDouble((Vm vm) -> score(hash, StableHash.of(vm.name()), vm.weight()))
				.thenComparing(Vm::name))
			.orElse(null);
	}

	/**
	 * Returns the best daemons for a key without regard to their size.
	 * @param key the key
	 * @param daemons candidates
	 * @param count how many
	 * @return at most that many, the best first
	 */
	public static List<Vm> topUnweighted(String key, Collection<Vm> daemons, int count) {
		long hash = StableHash.of(key);
		return daemons.stream()
			.sorted(Comparator.comparingDouble((Vm vm) -> -score(hash, StableHash.of(vm.name()), 1))
				.thenComparing(Vm::name))
			.limit(count)
			.toList();
	}

}

package org.hemlockgw.experiment.placement;

import java.io.PrintWriter;
import java.math.BigInteger;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongToIntFunction;
import java.util.stream.IntStream;

import org.hemlockgw.core.common.RendezvousHash;
import org.hemlockgw.core.common.StableHash;

/**
 * Compares hash functions that assign sessions to servers of equal size.
 */
final class HashComparison {

	private static final int KEYS = 200_000;

	private static final int VIRTUAL_NODES = 100;

	/** Slots of a table for each server, before rounding up. */
	private static final int TABLE_FACTOR = 100;

	private HashComparison() {
	}

	static void print(PrintWriter print, long seed) {
		print.printf("%n%-12s %8s %12s %12s %12s %12s%n", "hash", "servers", "add x n", "remove x n", "spread",
				"ns/key");
		for (int servers : new int[] { 31, 2400 }) {
			for (Kind kind : Kind.values()) {
				printRow(print, kind, servers, seed);
			}
		}
	}

	private static void printRow(PrintWriter print, Kind kind, int servers, long seed) {
		long[] keys = new Random(seed).longs(KEYS).toArray();
		int[] nodes = IntStream.range(0, servers).toArray();
		int[] added = IntStream.range(0, servers + 1).toArray();
		int[] removed = Arrays.stream(nodes).filter((node) -> node != servers / 2).toArray();
		LongToIntFunction hash = kind.build(nodes);
		long start = System.nanoTime();
		int[] before = Arrays.stream(keys).mapToInt(hash::applyAsInt).toArray();
		double nanos = (System.nanoTime() - start) / (double) KEYS;
		int[] counts = new int[servers];
		Arrays.stream(before).forEach((node) -> counts[node]++);
		double spread = Arrays.stream(counts).max().orElse(0) * (double) servers / KEYS;
		print.printf(Locale.ROOT, "%-12s %8d %12.2f %12.2f %12.3f %12.0f%n", kind, servers,
				changed(before, keys, kind.build(added)) * (servers + 1),
				changed(before, keys, kind.build(removed)) * servers, spread, nanos);
	}

	private static double changed(int[] before, long[] keys, LongToIntFunction hash) {
		int changed = 0;
		for (int i = 0; i < keys.length; i++) {
			changed += (hash.applyAsInt(keys[i]) == before[i]) ? 0 : 1;
		}
		return (double) changed / keys.length;
	}

	private enum Kind {

		MODULO {
			@Override
			LongToIntFunction build(int[] nodes) {
				return (key) -> nodes[Math.floorMod(key, nodes.length)];
			}
		},
		RING {
			@Override
			LongToIntFunction build(int[] nodes) {
				TreeMap<Long, Integer> ring = new TreeMap<>();
				for (int node : nodes) {
					for (int i = 0; i < VIRTUAL_NODES; i++) {
						ring.put(StableHash.of(node + "-" + i), node);
					}
				}
				return (key) -> {
					Map.Entry<Long, Integer> next = ring.ceilingEntry(key);
					return ((next != null) ? next : ring.firstEntry()).getValue();
				};
			}
		},
		JUMP {
			@Override
			LongToIntFunction build(int[] nodes) {
				return (key) -> nodes[jump(key, nodes.length)];
			}
		},
		TABLE {
			@Override
			LongToIntFunction build(int[] nodes) {
				int[] table = fillTable(nodes);
				return (key) -> table[Math.floorMod(key, table.length)];
			}
		},
		RENDEZVOUS {
			@Override
			LongToIntFunction build(int[] nodes) {
				long[] hashes = Arrays.stream(nodes).mapToLong((node) -> StableHash.of("e" + node)).toArray();
				return (key) -> {
					int best = 0;
					double highest = -1;
					for (int i = 0; i < hashes.length; i++) {
						double score = RendezvousHash.score(key, hashes[i], 1);
						if (score > highest) {
							highest = score;
							best = i;
						}
					}
					return nodes[best];
				};
			}
		};

		abstract LongToIntFunction build(int[] nodes);

		// Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm" (2014).
		private static int jump(long key, int buckets) {
			long state = key;
			long bucket = -1;
			long next = 0;
			while (next < buckets) {
				bucket = next;
				state = state * 2862933555777941757L + 1;
				next = (long) ((bucket + 1) * (double) (1L << 31) / ((state >>> 33) + 1));
			}
			return (int) bucket;
		}

		// Each server in turn takes the next free slot of its own permutation, as in
		// Eisenbud et al., "Maglev" (2016).
		private static int[] fillTable(int[] nodes) {
			// The size must stay the same when a server is added or removed.
			int size = BigInteger.valueOf((long) TABLE_FACTOR * 2 * Integer.highestOneBit(nodes.length + 8))
				.nextProbablePrime()
				.intValue();
			int[] table = new int[size];
			Arrays.fill(table, -1);
			int[] next = new int[nodes.length];
			int filled = 0;
			while (true) {
				for (int i = 0; i < nodes.length; i++) {
					long offset = Math.floorMod(StableHash.of("o" + nodes[i]), (long) size);
					long skip = 1 + Math.floorMod(StableHash.of("k" + nodes[i]), (long) size - 1);
					int slot;
					do {
						slot = (int) ((offset + skip * next[i]) % size);
						next[i]++;
					}
					while (table[slot] >= 0);
					table[slot] = nodes[i];
					if (++filled == size) {
						return table;
					}
				}
			}
		}

	}

}

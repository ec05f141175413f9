package org.hemlockgw.core.common;

import java.nio.charset.StandardCharsets;

/**
 * 64-bit hash function: FNV-1a with the MurmurHash3 finaliser. It must not change between
 * versions because daemons of different versions must assign the same shards and engines.
 */
public final class StableHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private StableHash() {
	}

	public static long of(String text) {
		long h = FNV_OFFSET;
		for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
			h = (h ^ (b & 0xff)) * FNV_PRIME;
		}
		return mix(h);
	}

	public static long combine(long a, long b) {
		return mix(a * 31 + b);
	}

	public static long mix(long value) {
		long h = value;
		h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
		h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return h ^ (h >>> 33);
	}

}

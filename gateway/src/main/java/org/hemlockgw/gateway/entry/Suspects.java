package org.hemlockgw.gateway.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests during which servers were lost, by digest of path and body.
 */
public final class Suspects {

	/**
	 * Losses after which a request is sent to no further server; the platform allows
	 * three retries.
	 */
	private static final int MAX_LOSSES = 3;

	/** Digests remembered; the oldest are forgotten. */
	private static final int MAX_DIGESTS = 10_000;

	private final Map<String, Integer> losses = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAX_DIGESTS;
		}
	};

	public void add(String digest) {
		this.losses.merge(digest, 1, Integer::sum);
	}

	/**
	 * Tells whether any request is suspected, so that no digest is needed otherwise.
	 * @return whether the list is empty
	 */
	public boolean isEmpty() {
		return this.losses.isEmpty();
	}

	public boolean isBlocked(String digest) {
		return this.losses.getOrDefault(digest, 0) >= MAX_LOSSES;
	}

	/**
	 * Returns the digest of a request.
	 * @param path path with query
	 * @param body body
	 * @return hexadecimal digits
	 */
	public static String digest(String path, byte[] body) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			sha.update(path.getBytes(StandardCharsets.UTF_8));
			sha.update((byte) 0);
			return HexFormat.of().formatHex(sha.digest(body), 0, 16);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}

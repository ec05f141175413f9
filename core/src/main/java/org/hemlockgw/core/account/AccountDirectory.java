package org.hemlockgw.core.account;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Immutable table of client accounts by API key. Only digests of the keys are kept and
 * compared, so that the time of a lookup reveals nothing about a key.
 */
public final class AccountDirectory {

	private final Map<String, ClientAccount> byName;

	private final Map<ByteBuffer, ClientAccount> byKeyDigest;

	private AccountDirectory(Builder builder) {
		this.byName = Map.copyOf(builder.byName);
		this.byKeyDigest = Map.copyOf(builder.byKeyDigest);
	}

	/**
	 * Returns the account that a key belongs to.
	 * @param key the key
	 * @return the account, or null if the key is unknown
	 */
	public @Nullable ClientAccount findByKey(String key) {
		return this.byKeyDigest.get(digest(key));
	}

	/**
	 * Returns the account with a name.
	 * @param name name of the account
	 * @return the account, or null if there is none
	 */
	public @Nullable ClientAccount findByName(String name) {
		return this.byName.get(name);
	}

	/**
	 * Returns the number of accounts.
	 * @return number of accounts
	 */
	public int size() {
		return this.byName.size();
	}

	private static ByteBuffer digest(String key) {
		try {
			return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform must support SHA-256", ex);
		}
	}

	/**
	 * Collects accounts and rejects ambiguous ones.
	 */
	public static final class Builder {

		private final Map<String, ClientAccount> byName = new HashMap<>();

		private final Map<ByteBuffer, ClientAccount> byKeyDigest = new HashMap<>();

		/**
		 * Adds an account.
		 * @param account the account
		 * @param keys its API keys
		 * @return this builder
		 * @throws IllegalArgumentException if the name or a key already belongs to an
		 * account; the message contains no key
		 */
		public Builder add(ClientAccount account, List<String> keys) {
			if (this.byName.putIfAbsent(account.name(), account) != null) {
				throw new IllegalArgumentException("account '" + account.name() + "' is defined twice");
			}
			for (String key : keys) {
				ClientAccount other = this.byKeyDigest.putIfAbsent(digest(key), account);
				if (other != null && other != account) {
					throw new IllegalArgumentException(
							"a key is assigned to the accounts '" + other.name() + "' and '" + account.name() + "'");
				}
			}
			return this;
		}

		public AccountDirectory build() {
			return new AccountDirectory(this);
		}

	}

}

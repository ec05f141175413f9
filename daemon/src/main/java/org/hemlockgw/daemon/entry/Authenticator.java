package org.hemlockgw.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Section;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Configuration;

/**
 * Finds the client account of a key.
 */
final class Authenticator {

	private static final String SCHEME = "Bearer ";

	private final Section<Configuration> configuration;

	private volatile Index index = new Index(Configuration.EMPTY, Map.of());

	Authenticator(Section<Configuration> configuration) {
		this.configuration = configuration;
	}

	ClientAccount authenticate(@Nullable String authorization) {
		Index current = index();
		if (current.configuration().version() == 0) {
			throw CallFailure.notRun(ErrorCode.OWNER_UNAVAILABLE, "this daemon has no configuration yet");
		}
		if (authorization == null || !authorization.startsWith(SCHEME)) {
			throw CallFailure.notRun(ErrorCode.UNAUTHENTICATED, "header Authorization must be 'Bearer <key>'");
		}
		String key = authorization.substring(SCHEME.length()).trim();
		ClientAccount account = current.accounts().get(sha256(key));
		if (account == null) {
			throw CallFailure.notRun(ErrorCode.UNAUTHENTICATED,
					"the key in header Authorization belongs to no client account");
		}
		return account;
	}

	private Index index() {
		Configuration latest = this.configuration.get();
		Index current = this.index;
		if (current.configuration() == latest) {
			return current;
		}
		Map<String, ClientAccount> accounts = new HashMap<>();
		for (ClientAccount account : latest.clientAccounts().values()) {
			account.keySha256().forEach((digest) -> accounts.put(digest, account));
		}
		Index next = new Index(latest, accounts);
		this.index = next;
		return next;
	}

	private static String sha256(String key) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	/**
	 * Accounts of one configuration version.
	 *
	 * @param configuration the version
	 * @param accounts by key digest
	 */
	private record Index(Configuration configuration, Map<String, ClientAccount> accounts) {
	}

}

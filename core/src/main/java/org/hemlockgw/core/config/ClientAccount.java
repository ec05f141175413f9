package org.hemlockgw.core.config;

import java.util.Set;

/**
 * A client account.
 *
 * @param name unique name
 * @param weight share of engine time relative to other client accounts
 * @param keySha256 SHA-256 hash of each accepted key, in lower-case hex
 * @param programBudgetTokens maximum budget of one program, in tokens
 * @param maxPrograms maximum number of running programs
 * @param models names of the models that the account may use
 * @param services backend server names of the plain services that the account may call
 */
public record ClientAccount(String name, double weight, Set<String> keySha256, long programBudgetTokens,
		int maxPrograms, Set<String> models, Set<String> services) {
}

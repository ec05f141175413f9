package org.hemlockgw.core.config;

import java.util.Set;

/**
 * A client account.
 *
 * @param name unique name
 * @param weight share of engine time relative to other accounts
 * @param keySha256 lower-case hex SHA-256 of each accepted key
 * @param programBudgetTokens largest budget of one program, in tokens
 * @param maxPrograms most programs under way
 * @param models models that it may use
 * @param services plain services that it may call, by backend server name
 */
public record ClientAccount(String name, double weight, Set<String> keySha256, long programBudgetTokens,
		int maxPrograms, Set<String> models, Set<String> services) {
}

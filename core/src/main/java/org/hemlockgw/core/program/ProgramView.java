package org.hemlockgw.core.program;

import org.hemlockgw.core.common.ProgramId;

/**
 * Program status as shown to callers.
 *
 * @param id the program
 * @param state life-cycle state
 * @param budgetTokens token budget
 * @param spentTokens settled tokens, including the budgets taken out for children
 * @param reservedTokens tokens reserved as upper bounds of calls in flight
 * @param turns number of finished model turns
 * @param nextStep next expected step number
 */
public record ProgramView(ProgramId id, ProgramState state, long budgetTokens, long spentTokens, long reservedTokens,
		int turns, long nextStep) {
}

package org.hemlockgw.core.program;

import org.hemlockgw.core.common.ProgramId;

/**
 * What a caller may see of a program.
 *
 * @param id the program
 * @param state life-cycle state
 * @param budgetTokens the budget, in tokens
 * @param spentTokens settled spending, budgets carved out for children included
 * @param reservedTokens upper bounds of calls in flight
 * @param turns finished model calls
 * @param nextStep the step number expected next
 */
public record ProgramView(ProgramId id, ProgramState state, long budgetTokens, long spentTokens, long reservedTokens,
		int turns, long nextStep) {
}

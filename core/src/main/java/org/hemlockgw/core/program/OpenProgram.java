package org.hemlockgw.core.program;

import java.time.Duration;

import org.hemlockgw.core.common.ProgramId;

/**
 * Command to open a program. Repeating it with the same identifier and parameters returns
 * the existing program. The budget of a child program is taken from its parent's budget.
 *
 * @param id the program; a name with a dot denotes a child of the program named by the
 * part before the last dot
 * @param budgetTokens token budget
 * @param maxTurns maximum number of model calls
 * @param maxWallTime maximum time from opening to end
 */
public record OpenProgram(ProgramId id, long budgetTokens, int maxTurns, Duration maxWallTime) {
}

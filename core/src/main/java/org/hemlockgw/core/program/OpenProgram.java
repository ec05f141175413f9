package org.hemlockgw.core.program;

import java.time.Duration;

import org.hemlockgw.core.common.ProgramId;

/**
 * Opens a program. Opening the same identifier again with the same parameters returns the
 * existing program. A child program's budget is carved out of its parent's.
 *
 * @param id the program; a name with a dot is a child of the part before its last dot
 * @param budgetTokens the budget, in tokens
 * @param maxTurns limit on model calls
 * @param maxWallTime limit on the time from opening to end
 */
public record OpenProgram(ProgramId id, long budgetTokens, int maxTurns, Duration maxWallTime) {
}

/**
 * Chains of turns with opaque content, and the token budgets of their programs.
 */
@NullMarked
package org.hemlockgw.core.turn;

import org.jspecify.annotations.NullMarked;

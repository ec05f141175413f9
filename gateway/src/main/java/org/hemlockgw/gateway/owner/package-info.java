/**
 * Ownership of shards and storage of the turn chains and token budgets of programs.
 */
@NullMarked
package org.hemlockgw.gateway.owner;

import org.jspecify.annotations.NullMarked;

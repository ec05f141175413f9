/**
 * Shards of programs: ownership, chains, budgets, appends.
 */
@NullMarked
package org.hemlockgw.gateway.owner;

import org.jspecify.annotations.NullMarked;

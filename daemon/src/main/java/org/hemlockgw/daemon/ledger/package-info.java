/**
 * Writing this daemon's ledger and reading those of its predecessors.
 */
@NullMarked
package org.hemlockgw.daemon.ledger;

import org.jspecify.annotations.NullMarked;

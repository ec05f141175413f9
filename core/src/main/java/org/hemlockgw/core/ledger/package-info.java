/**
 * Records of a daemon's ledger and the program state folded from them.
 */
@NullMarked
package org.hemlockgw.core.ledger;

import org.jspecify.annotations.NullMarked;

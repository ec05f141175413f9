/**
 * Ledger records of a daemon and the program state that is derived from them.
 */
@NullMarked
package org.hemlockgw.core.ledger;

import org.jspecify.annotations.NullMarked;

/**
 * Tests.
 */
@NullMarked
package org.hemlockgw.daemon.ledger;

import org.jspecify.annotations.NullMarked;

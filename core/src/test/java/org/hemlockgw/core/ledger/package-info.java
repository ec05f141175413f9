/**
 * Tests.
 */
@NullMarked
package org.hemlockgw.core.ledger;

import org.jspecify.annotations.NullMarked;

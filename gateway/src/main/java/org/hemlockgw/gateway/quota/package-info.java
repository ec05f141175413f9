/**
 * Rate limits of client accounts: holders of accounts and requests for permits.
 */
@NullMarked
package org.hemlockgw.gateway.quota;

import org.jspecify.annotations.NullMarked;

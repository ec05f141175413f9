/**
 * Client accounts and the limits that apply to them.
 */
@NullMarked
package org.hemlockgw.core.account;

import org.jspecify.annotations.NullMarked;

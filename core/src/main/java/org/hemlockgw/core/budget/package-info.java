/**
 * Token budgets of programs: reservations, settlement and durable grants.
 */
@NullMarked
package org.hemlockgw.core.budget;

import org.jspecify.annotations.NullMarked;

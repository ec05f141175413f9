/**
 * Stand-in of the platform's VM list.
 */
@NullMarked
package org.hemlockgw.standins.vmlist;

import org.jspecify.annotations.NullMarked;

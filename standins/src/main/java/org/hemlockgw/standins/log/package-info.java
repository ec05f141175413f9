/**
 * Stand-in of the platform's log service.
 */
@NullMarked
package org.hemlockgw.standins.log;

import org.jspecify.annotations.NullMarked;

/**
 * Stand-ins of the platform's services and of backend servers, each runnable alone.
 */
@NullMarked
package org.hemlockgw.standins;

import org.jspecify.annotations.NullMarked;

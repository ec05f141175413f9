/**
 * Stand-ins of the users' platform: its store and its engines.
 */
@NullMarked
package org.hemlockgw.standins.platform;

import org.jspecify.annotations.NullMarked;

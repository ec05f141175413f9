/**
 * The admin listener for operators and peers.
 */
@NullMarked
package org.hemlockgw.daemon.admin;

import org.jspecify.annotations.NullMarked;

/**
 * Keeps the VM list up to date.
 */
@NullMarked
package org.hemlockgw.daemon.membership;

import org.jspecify.annotations.NullMarked;

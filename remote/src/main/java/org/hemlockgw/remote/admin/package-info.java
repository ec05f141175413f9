/**
 * Client of the daemons' admin listeners.
 */
@NullMarked
package org.hemlockgw.remote.admin;

import org.jspecify.annotations.NullMarked;

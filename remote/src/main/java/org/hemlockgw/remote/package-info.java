/**
 * HTTP clients of the platform's log and VM list, of engines and of plain services.
 */
@NullMarked
package org.hemlockgw.remote;

import org.jspecify.annotations.NullMarked;

/**
 * The daemon: its command line, the wiring of its parts and its graceful shutdown.
 */
@NullMarked
package org.hemlockgw.daemon;

import org.jspecify.annotations.NullMarked;

/**
 * The operators' command line, {@code hemlockctl}.
 */
@NullMarked
package org.hemlockgw.cli;

import org.jspecify.annotations.NullMarked;

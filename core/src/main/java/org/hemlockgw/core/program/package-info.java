/**
 * Calls of a program as the program owner sees them.
 */
@NullMarked
package org.hemlockgw.core.program;

import org.jspecify.annotations.NullMarked;

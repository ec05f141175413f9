/**
 * Program state, calls and state transitions that the program owner manages.
 */
@NullMarked
package org.hemlockgw.core.program;

import org.jspecify.annotations.NullMarked;

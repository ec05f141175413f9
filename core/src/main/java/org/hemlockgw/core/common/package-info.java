/**
 * Types shared by all packages: identifiers, verdicts and failures.
 */
@NullMarked
package org.hemlockgw.core.common;

import org.jspecify.annotations.NullMarked;

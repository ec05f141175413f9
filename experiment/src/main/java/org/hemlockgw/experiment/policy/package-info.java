/**
 * Comparison of scheduling policies on the stand-in engine's model in virtual time.
 */
@NullMarked
package org.hemlockgw.experiment.policy;

import org.jspecify.annotations.NullMarked;

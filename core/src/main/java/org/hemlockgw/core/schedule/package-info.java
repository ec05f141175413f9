/**
 * Queue order, engine cost estimates, in-flight limits and admission control.
 */
@NullMarked
package org.hemlockgw.core.schedule;

import org.jspecify.annotations.NullMarked;

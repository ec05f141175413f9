/**
 * Demonstration, load tool and measurements.
 */
@NullMarked
package org.hemlockgw.experiment;

import org.jspecify.annotations.NullMarked;

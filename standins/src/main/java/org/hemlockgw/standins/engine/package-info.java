/**
 * Stand-in of a model engine and the model of its time and cache.
 */
@NullMarked
package org.hemlockgw.standins.engine;

import org.jspecify.annotations.NullMarked;

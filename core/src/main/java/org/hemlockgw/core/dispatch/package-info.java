/**
 * Interface of the dispatcher, which sends model turns to engines, and of engine
 * selection.
 */
@NullMarked
package org.hemlockgw.core.dispatch;

import org.jspecify.annotations.NullMarked;

/**
 * Recording of request events that explain how a request was handled.
 */
@NullMarked
package org.hemlockgw.core.explain;

import org.jspecify.annotations.NullMarked;

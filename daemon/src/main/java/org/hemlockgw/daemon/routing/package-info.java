/**
 * Routes calls to the owner of a program and the dispatcher of an engine, wherever they
 * are.
 */
@NullMarked
package org.hemlockgw.daemon.routing;

import org.jspecify.annotations.NullMarked;

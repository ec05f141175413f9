/**
 * Stand-in of a plain service.
 */
@NullMarked
package org.hemlockgw.standins.service;

import org.jspecify.annotations.NullMarked;

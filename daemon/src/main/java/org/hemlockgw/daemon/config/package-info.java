/**
 * Keeps the configuration in force up to date.
 */
@NullMarked
package org.hemlockgw.daemon.config;

import org.jspecify.annotations.NullMarked;

/**
 * Settings of one daemon, read from a YAML file.
 */
@NullMarked
package org.hemlockgw.daemon.settings;

import org.jspecify.annotations.NullMarked;

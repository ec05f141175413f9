package org.hemlockgw.core.config;

/**
 * A record of the configuration stream.
 */
public sealed interface ConfigRecord permits ConfigPatch, ConfigSnapshot {

}

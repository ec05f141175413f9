package org.hemlockgw.core.store;

/**
 * Newest record of one key.
 *
 * @param key at most 255 bytes of ASCII
 * @param value empty to drop the key
 */
public record KeyedValue(String key, byte[] value) {
}

package org.hemlockgw.core.store;

/**
 * Record of the state store: the latest value of a key.
 *
 * @param key key of at most 255 ASCII bytes
 * @param value the value; empty to delete the key
 */
public record KeyedValue(String key, byte[] value) {
}

package org.hemlockgw.core.platform;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param body the bytes
 */
public record ServiceResponse(int status, byte[] body) {
}

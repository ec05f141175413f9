package org.hemlockgw.core.platform;

/**
 * Response of a plain service.
 *
 * @param status HTTP status
 * @param body response body
 */
public record ServiceResponse(int status, byte[] body) {
}

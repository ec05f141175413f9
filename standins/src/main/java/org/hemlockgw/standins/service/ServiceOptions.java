package org.hemlockgw.standins.service;

/**
 * Initial settings of the plain service.
 *
 * @param delayMs time that an execution takes
 */
public record ServiceOptions(long delayMs) {

	/** Executions take no time. */
	public static final ServiceOptions DEFAULT = new ServiceOptions(0);

}

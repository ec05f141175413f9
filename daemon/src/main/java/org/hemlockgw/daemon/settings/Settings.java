package org.hemlockgw.daemon.settings;

import java.nio.file.Path;
import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon.
 *
 * @param name name of the VM in the VM list
 * @param dataCentre name of the data centre of this VM
 * @param weight size of this VM relative to others; 1.0 is usual
 * @param callerAddress IP number and port of the listener for callers
 * @param peerAddress IP number and port of the listener for other daemons
 * @param adminAddress IP number and port of the admin listener
 * @param logAddress IP number and port of the log service
 * @param vmListAddress IP number and port of the VM list
 * @param batchInterval shortest time between two appends to the ledger
 * @param logFile file for log lines, besides standard error; {@code null} for none
 */
public record Settings(String name, String dataCentre, double weight, String callerAddress, String peerAddress,
		String adminAddress, String logAddress, String vmListAddress, Duration batchInterval, @Nullable Path logFile) {
}

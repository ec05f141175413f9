package org.hemlockgw.cli;

import java.util.function.Function;

import org.hemlockgw.core.platform.LogService;
import org.hemlockgw.core.platform.VmList;
import org.hemlockgw.remote.admin.AdminClient;

/**
 * Clients of everything that commands talk to, by IP number and port.
 *
 * @param log client of a log service
 * @param vmList client of a VM list
 * @param admin client of admin listeners
 */
record Platform(Function<String, LogService> log, Function<String, VmList> vmList, AdminClient admin) {
}

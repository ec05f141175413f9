package org.hemlockgw.cli;

import java.util.concurrent.Executor;

import org.hemlockgw.remote.HttpLogService;
import org.hemlockgw.remote.HttpVmList;
import org.hemlockgw.remote.admin.HttpAdminClient;

/**
 * Creates the clients of the platform.
 */
final class Clients {

	private Clients() {
	}

	static Platform connect(Executor executor) {
		return new Platform((address) -> new HttpLogService(address, executor),
				(address) -> new HttpVmList(address, executor), new HttpAdminClient(executor));
	}

}

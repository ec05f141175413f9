package org.hemlockgw.cli;

import java.util.concurrent.Executor;

import org.hemlockgw.platform.admin.HttpAdminClient;

/**
 * Creates the clients of the platform.
 */
final class Clients {

	private Clients() {
	}

	static Platform connect(Executor executor) {
		return new Platform((address) -> {
			throw CommandFailure.failed("No client of the log service in this build");
		}, (address) -> {
			throw CommandFailure.failed("No client of the VM list in this build");
		}, new HttpAdminClient(executor));
	}

}

package org.hemlockgw.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.config.BackendKind;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.membership.BackendAvailability;
import org.hemlockgw.core.platform.EngineClient;
import org.hemlockgw.core.platform.PlainServiceClient;
import org.hemlockgw.remote.HttpEngineClient;
import org.hemlockgw.remote.HttpPlainServiceClient;

/**
 * One client for each address of a backend server.
 */
final class BackendClients {

	private final Blackboard blackboard;

	private final Executor executor;

	private final Map<String, EngineClient> engines = new ConcurrentHashMap<>();

	private final Map<String, PlainServiceClient> services = new ConcurrentHashMap<>();

	BackendClients(Blackboard blackboard, Executor executor) {
		this.blackboard = blackboard;
		this.executor = executor;
	}

	EngineClient engine(BackendServer server) {
		return this.engines.computeIfAbsent(server.address(),
				(address) -> new HttpEngineClient(address, this.executor));
	}

	/**
	 * Returns the client of a plain service.
	 * @param name name of the backend server
	 * @return the client, or {@code null} when there is no such plain service or it takes
	 * no new work
	 */
	@Nullable PlainServiceClient service(String name) {
		BackendServer server = this.blackboard.configuration().get().backendServers().get(name);
		if (server == null || server.kind() != BackendKind.SERVICE
				|| !BackendAvailability.acceptsWork(server, this.blackboard.vms().get())) {
			return null;
		}
		return this.services.computeIfAbsent(server.address(),
				(address) -> new HttpPlainServiceClient(address, this.executor));
	}

}

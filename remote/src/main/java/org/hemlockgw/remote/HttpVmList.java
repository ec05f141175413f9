package org.hemlockgw.remote;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.JsonNode;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.core.platform.VmList;

/**
 * Client of the VM list over HTTP. Its failures are of code {@code BACKEND_UNAVAILABLE}.
 */
public final class HttpVmList implements VmList {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

	private final HttpCalls http;

	public HttpVmList(String address, Executor executor) {
		this.http = new HttpCalls(address, executor);
	}

	@Override
	public CompletableFuture<List<Vm>> list() {
		return this.http.submit((connections, abort) -> {
			JsonNode answer = connections.execute(this.http.request("GET", "/vms").build(),
					ConnectionUse.REUSED_WITH_RETRY, READ_TIMEOUT, abort, HttpCalls::readJson);
			List<Vm> vms = new ArrayList<>();
			for (JsonNode vm : answer.path("vms")) {
				vms.add(vm(vm));
			}
			return List.copyOf(vms);
		}, (ex) -> CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, "VM list: " + ex));
	}

	private static Vm vm(JsonNode node) throws IOException {
		JsonNode admin = node.path("admin");
		return new Vm(text(node, "name"), text(node, "address"), admin.isTextual() ? admin.textValue() : null,
				text(node, "data_centre"), node.path("weight").asDouble(1), constant(VmKind.class, node, "kind"),
				constant(VmState.class, node, "state"));
	}

	private static String text(JsonNode node, String field) throws IOException {
		JsonNode value = node.path(field);
		if (!value.isTextual()) {
			throw new IOException("field " + field + " must be a text, was " + value);
		}
		return value.textValue();
	}

	private static <E extends Enum<E>> E constant(Class<E> type, JsonNode node, String field) throws IOException {
		String name = text(node, field);
		try {
			return Enum.valueOf(type, name.toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw new IOException("field " + field + " has the unknown value '" + name + "'", ex);
		}
	}

}

package org.hemlockgw.cli;

import java.io.PrintWriter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.remote.admin.AdminClient;

/**
 * What the daemons of the VM list answered to one question.
 *
 * @param bodies answers with status 200, by VM name
 * @param unreachable why there is no answer, by VM name
 */
record Answers(SortedMap<String, JsonNode> bodies, SortedMap<String, String> unreachable) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	/**
	 * Asks all daemons at once.
	 * @param client client of admin listeners
	 * @param daemons the daemons
	 * @param path path with leading slash
	 * @return the answers; a daemon that knows nothing (404) is in neither map
	 */
	static Answers ask(AdminClient client, List<Vm> daemons, String path) {
		Answers answers = new Answers(new TreeMap<>(), new TreeMap<>());
		Map<String, CompletableFuture<AdminClient.Response>> pending = new TreeMap<>();
		for (Vm vm : daemons) {
			String address = vm.adminAddress();
			if (address == null) {
				answers.unreachable.put(vm.name(), "the VM list names no admin address");
			}
			else {
				pending.put(vm.name(), client.send("GET", address, path));
			}
		}
		pending.forEach(answers::add);
		return answers;
	}

	private void add(String vm, CompletableFuture<AdminClient.Response> pending) {
		try {
			AdminClient.Response response = Await.result(pending, Timeouts.REQUEST);
			if (response.status() == OK) {
				this.bodies.put(vm, MAPPER.readTree(response.body()));
			}
			else if (response.status() != NOT_FOUND) {
				this.unreachable.put(vm, "status " + response.status());
			}
		}
		catch (CallFailure ex) {
			this.unreachable.put(vm, String.valueOf(ex.getMessage()));
		}
		catch (JsonProcessingException ex) {
			this.unreachable.put(vm, "the answer is not JSON");
		}
	}

	/**
	 * Merges the entries of one list of all answers.
	 * @param list key of the list
	 * @param time key of the time that orders the entries
	 * @return all entries in order of time
	 */
	List<JsonNode> merge(String list, String time) {
		List<JsonNode> result = new ArrayList<>();
		this.bodies.values().forEach((body) -> body.path(list).forEach(result::add));
		result.sort(Comparator.comparing((entry) -> Instant.parse(entry.path(time).asText())));
		return result;
	}

	void printUnreachable(PrintWriter err) {
		this.unreachable.forEach((vm, reason) -> err.println("unreachable: " + vm + ": " + reason));
		err.flush();
	}

}

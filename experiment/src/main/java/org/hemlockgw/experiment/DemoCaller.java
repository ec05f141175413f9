package org.hemlockgw.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.Charset;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import org.hemlockgw.core.common.ProgramId;

/**
 * Caller's side of {@code bin/demo}. Lines that begin with {@code @} are for the script:
 * after {@code @between-turns} it answers with a line, {@code @trace} names the trace.
 */
@Command(name = "demo-caller", mixinStandardHelpOptions = true, description = "Runs one program of several turns.")
public final class DemoCaller implements Callable<Integer> {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_TOKENS = 24;

	private static final long TOOL_PAUSE_MS = 1000;

	private static final long POLL_MS = 100;

	private static final int POLLS = 300;

	@Option(names = "--callers", required = true, split = ",", description = "Caller listeners, first daemon first.")
	private List<String> callers = List.of();

	@Option(names = "--admin", required = true, description = "Admin listener of the first daemon.")
	private String admin = "";

	@Option(names = "--first", required = true, description = "VM name of the first daemon.")
	private String first = "";

	@Option(names = "--service", required = true, description = "Address of the plain service.")
	private String service = "";

	@Option(names = "--engines", required = true, split = ",", description = "Addresses of the engines.")
	private List<String> engines = List.of();

	@Option(names = "--account", required = true, description = "Client account.")
	private String account = "";

	@Option(names = "--key", required = true, description = "Key of the client account.")
	private String key = "";

	private final ArrayNode history = MAPPER.createArrayNode();

	private DemoCaller() {
	}

	public static void main(String[] args) {
		System.exit(new CommandLine(new DemoCaller()).execute(args));
	}

	@Override
	public Integer call() throws IOException, InterruptedException {
		byte[] ids = new byte[24];
		new Random().nextBytes(ids);
		String hex = HexFormat.of().formatHex(ids);
		String trace = hex.substring(0, 32);
		DemoClient client = new DemoClient(this.callers, this.key, "00-" + trace + "-" + hex.substring(32) + "-01");
		String program = ownedByFirst(client);
		client.json("POST", "/v1/programs", "{\"id\":\"" + program + "\",\"budget_tokens\":20000}", Map.of());
		System.out.println("program " + program + " opened on " + this.first);

		turn(client, program, "turn-1", "system", "You write cues for a live show.");
		System.out.println("tool pause of " + TOOL_PAUSE_MS + " ms");
		Thread.sleep(TOOL_PAUSE_MS);
		turn(client, program, "turn-2", "tool", "The curtain opens at 19:30.");

		System.out.println("@between-turns");
		new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset())).readLine();

		subAgent(client, program);
		publish(client, program);
		String answer = turn(client, program, "turn-3", "user", "Write the last cue.");
		JsonNode view = client.json("DELETE", "/v1/programs/" + program, "", Map.of());
		System.out.println("answer: " + answer);
		System.out.println("spending: " + view);
		awaitRelease(client);
		System.out.println("@trace " + trace);
		return 0;
	}

	// The daemon that the script may kill is to be the entry and the owner of the
	// program.
	private String ownedByFirst(DemoClient client) throws IOException, InterruptedException {
		for (int poll = 0; poll < POLLS; poll++) {
			Set<Integer> shards = new HashSet<>();
			client.read(this.admin, "/status").path("shards").fields().forEachRemaining((owner) -> {
				if (owner.getKey().startsWith(this.first + "/")) {
					owner.getValue().forEach((shard) -> shards.add(shard.asInt()));
				}
			});
			for (int n = 1; !shards.isEmpty() && n < 1000; n++) {
				if (shards.contains(new ProgramId(this.account, "show-" + n).shard().value())) {
					return "show-" + n;
				}
			}
			Thread.sleep(POLL_MS);
		}
		throw new DemoClient.DemoFailure(this.first + " owns no shard");
	}

	private String turn(DemoClient client, String program, String requestId, String role, String content)
			throws IOException, InterruptedException {
		this.history.addObject().put("role", role).put("content", content);
		String answer = model(client, program, requestId, this.history);
		this.history.addObject().put("role", "assistant").put("content", answer);
		System.out.println(requestId + " " + program + ": " + answer);
		return answer;
	}

	private static String model(DemoClient client, String program, String requestId, ArrayNode messages)
			throws IOException, InterruptedException {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("model", "draft").put("max_tokens", MAX_TOKENS).put("stream", true);
		body.set("messages", messages);
		return DemoClient
			.answer(client.send("POST", "/v1/chat/completions", body.toString(), headers(program, requestId)));
	}

	private static void subAgent(DemoClient client, String parent) throws IOException, InterruptedException {
		String open = "{\"id\":\"" + parent + ".1\",\"parent\":\"" + parent + "\",\"budget_tokens\":2000}";
		String child = client.json("POST", "/v1/programs", open, Map.of()).path("id").asText();
		ArrayNode messages = MAPPER.createArrayNode();
		messages.addObject().put("role", "user").put("content", "Check the spelling of the cue.");
		System.out.println("sub-agent " + child + ": " + model(client, child, "check-1", messages));
		System.out.println("sub-agent spending: " + client.json("DELETE", "/v1/programs/" + child, "", Map.of()));
	}

	private void publish(DemoClient client, String program) throws IOException, InterruptedException {
		Map<String, String> headers = headers(program, "publish-1");
		String firstAnswer = client.send("POST", "/v1/services/publisher/publish", "cue sheet", headers);
		String secondAnswer = client.send("POST", "/v1/services/publisher/publish", "cue sheet", headers);
		JsonNode executions = client.read(this.service, "/executions");
		System.out.println("published: " + firstAnswer + ", executions: " + executions);
		if (!firstAnswer.equals(secondAnswer)) {
			throw new DemoClient.DemoFailure("the repeated call was answered differently: " + secondAnswer);
		}
		if (!executions.toString().contains("publish-1\":1")) {
			throw new DemoClient.DemoFailure("the call with one idempotency key did not run exactly once");
		}
	}

	private void awaitRelease(DemoClient client) throws IOException, InterruptedException {
		for (String engine : this.engines) {
			JsonNode sessions = client.read(engine, "/v1/cache/sessions");
			for (int poll = 0; poll < POLLS && sessions.toString().contains(this.account); poll++) {
				Thread.sleep(POLL_MS);
				sessions = client.read(engine, "/v1/cache/sessions");
			}
			System.out.println("cache sessions of " + engine + ": " + sessions);
			if (sessions.toString().contains(this.account)) {
				throw new DemoClient.DemoFailure("the memory of an ended program is still held");
			}
		}
	}

	private static Map<String, String> headers(String program, String requestId) {
		return Map.of("X-Hemlock-Program", program, "Idempotency-Key", requestId);
	}

}

package org.hemlockgw.systemtest;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigPatch;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.remote.HttpLogService;
import org.hemlockgw.standins.engine.EngineOptions;
import org.hemlockgw.standins.engine.EngineServer;
import org.hemlockgw.standins.engine.EngineText;
import org.hemlockgw.standins.log.LogOptions;
import org.hemlockgw.standins.log.LogServer;
import org.hemlockgw.standins.relay.Relay;
import org.hemlockgw.standins.service.PlainServer;
import org.hemlockgw.standins.service.ServiceOptions;
import org.hemlockgw.standins.vmlist.VmEntry;
import org.hemlockgw.standins.vmlist.VmListOptions;
import org.hemlockgw.standins.vmlist.VmListServer;

/**
 * Stand-ins in this process and daemons as processes of their own, all on loopback with
 * ports chosen by the system.
 */
final class TestSystem implements AutoCloseable {

	/** Keys of the two client accounts. */
	static final String KEY_A = "key-a";

	/** Key of the second client account. */
	static final String KEY_B = "key-b";

	/** Bound of the target for a configuration change. */
	static final Duration CONFIGURATION_BOUND = Duration.ofSeconds(8);

	private static final ObjectMapper JSON = new ObjectMapper();

	final LogServer log = new LogServer(new LogOptions(2_000, 600_000), "127.0.0.1:0");

	final VmListServer vmList = new VmListServer(VmListOptions.DEFAULT, "127.0.0.1:0");

	final Map<String, EngineServer> engines = new LinkedHashMap<>();

	final PlainServer service = new PlainServer(ServiceOptions.DEFAULT, "127.0.0.1:0");

	final Map<String, DaemonProcess> daemons = new LinkedHashMap<>();

	/** Relays between daemons and engines, by engine name. */
	private final Map<String, Relay> relays = new LinkedHashMap<>();

	private final HttpClient http = HttpClient.newHttpClient();

	private TestSystem() {
	}

	/**
	 * Starts a system with its first configuration.
	 * @param daemonCount number of daemons
	 * @param engineOptions options of each engine
	 * @return the system, once every daemon has the configuration
	 */
	static TestSystem start(int daemonCount, EngineOptions... engineOptions) throws IOException {
		TestSystem system = new TestSystem();
		system.log.start();
		system.vmList.start();
		system.service.start();
		for (int i = 0; i < engineOptions.length; i++) {
			EngineServer engine = new EngineServer(engineOptions[i], "127.0.0.1:0");
			engine.start();
			system.engines.put("e" + (i + 1), engine);
			system.relays.put("e" + (i + 1), new Relay(engine.address()));
		}
		system.patch(0, system.firstConfiguration());
		for (int i = 1; i <= daemonCount; i++) {
			system.daemons.put("d" + i, system.launch("d" + i));
		}
		system.daemons.values().forEach(system::register);
		system.daemons.values()
			.forEach((daemon) -> Await.until(daemon.name() + " is ready", Duration.ofSeconds(60),
					() -> system.get(daemon.admin(), "/ready").statusCode() == 200));
		return system;
	}

	/** An engine whose answers of 100 tokens take about a second. */
	static EngineOptions engine() {
		return new EngineOptions(50_000, 400, 16, 200_000, 512, 500, "", true);
	}

	DaemonProcess launch(String name) throws IOException {
		return DaemonProcess.start(name, "dc1", this.log.address(), this.vmList.address());
	}

	DaemonProcess add(String name) throws IOException {
		DaemonProcess daemon = launch(name);
		this.daemons.put(name, daemon);
		register(daemon);
		Await.until(name + " is ready", Duration.ofSeconds(60),
				() -> get(daemon.admin(), "/ready").statusCode() == 200);
		return daemon;
	}

	void register(DaemonProcess daemon) {
		this.vmList.put(daemon.name(), new VmEntry(null, daemon.peer(), daemon.admin(), "dc1", 1.0, "entry", "live"));
	}

	DaemonProcess daemon(String name) {
		return Objects.requireNonNull(this.daemons.get(name));
	}

	EngineServer engineServer(String name) {
		return Objects.requireNonNull(this.engines.get(name));
	}

	Relay relay(String engine) {
		return Objects.requireNonNull(this.relays.get(engine));
	}

	List<String> callers() {
		List<String> addresses = new ArrayList<>();
		this.daemons.values().stream().filter(DaemonProcess::isAlive).forEach((d) -> addresses.add(d.caller()));
		return addresses;
	}

	HttpResponse<String> get(String address, String path) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(Duration.ofSeconds(5))
			.build();
		return this.http.send(request, HttpResponse.BodyHandlers.ofString());
	}

	JsonNode status(DaemonProcess daemon) throws IOException, InterruptedException {
		return JSON.readTree(get(daemon.admin(), "/status").body());
	}

	/**
	 * Finds the daemon whose trace or explanation shows it as owner of a request.
	 * @param request idempotency key
	 * @return the owner
	 */
	DaemonProcess ownerOf(String request) {
		DaemonProcess[] owner = new DaemonProcess[1];
		Await.until("owner of " + request + " is known", Duration.ofSeconds(10), () -> {
			for (DaemonProcess daemon : this.daemons.values()) {
				if (daemon.isAlive() && get(daemon.admin(), "/explain/" + request).body().contains("\"owner\"")) {
					owner[0] = daemon;
					return true;
				}
			}
			return false;
		});
		return owner[0];
	}

	/**
	 * Counts the shards of a daemon as another one sees them.
	 * @param owner the daemon
	 * @param observer who is asked
	 * @return the number of shards
	 */
	int shardsOf(DaemonProcess owner, DaemonProcess observer) throws IOException, InterruptedException {
		int shards = 0;
		Iterator<Map.Entry<String, JsonNode>> owners = status(observer).path("shards").properties().iterator();
		while (owners.hasNext()) {
			Map.Entry<String, JsonNode> entry = owners.next();
			shards += entry.getKey().startsWith(owner.name() + "/") ? entry.getValue().size() : 0;
		}
		return shards;
	}

	/** Waits until every shard is held and each daemon has its part. */
	void awaitSettledOwnership() {
		DaemonProcess observer = this.daemons.values().iterator().next();
		int least = ShardId.COUNT / this.daemons.size() / 2;
		Await.until("ownership is settled", Duration.ofSeconds(30), () -> {
			int held = 0;
			for (DaemonProcess daemon : this.daemons.values()) {
				int shards = shardsOf(daemon, observer);
				if (shards < least) {
					return false;
				}
				held += shards;
			}
			return held == ShardId.COUNT;
		});
	}

	/**
	 * Finds the engine that runs a request.
	 * @return its name
	 */
	String servingEngine() {
		return this.engines.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().stats().running() > 0)
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Finds the daemon that an engine is assigned to.
	 * @param engine name of the backend server
	 * @return the daemon
	 */
	DaemonProcess dispatcherOf(String engine) throws IOException, InterruptedException {
		DaemonProcess any = this.daemons.values().stream().filter(DaemonProcess::isAlive).findFirst().orElseThrow();
		for (JsonNode entry : status(any).path("engines")) {
			if (entry.path("name").asText().equals(engine)) {
				return daemon(entry.at("/dispatcher/vm").asText());
			}
		}
		throw new AssertionError("engine " + engine + " has no dispatcher in " + status(any));
	}

	/**
	 * Appends a patch to the configuration stream.
	 * @param base version that it applies to
	 * @param patch merge patch
	 */
	void patch(long base, JsonNode patch) {
		ConfigPatch record = new ConfigPatch(UUID.randomUUID().toString(), base, "test", "test", patch);
		new HttpLogService(this.log.address(), Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		})).append("config", ConfigCodec.encode(record)).join();
	}

	void patch(long base, String json) throws IOException {
		patch(base, JSON.readTree(json));
	}

	void patchWeight(long base, double weight) {
		ObjectNode patch = JSON.createObjectNode();
		patch.putObject("client_accounts").putObject("a").put("weight", weight);
		patch(base, patch);
	}

	/**
	 * Makes the VM list show a backend server as leaving.
	 * @param engine its name
	 */
	void leaving(String engine) {
		this.vmList.put(engine,
				new VmEntry(null, engineServer(engine).address(), null, "dc1", 1.0, "backend", "leaving"));
	}

	long version(DaemonProcess daemon) throws IOException, InterruptedException {
		return JSON.readTree(get(daemon.admin(), "/config").body()).path("version").asLong(-1);
	}

	void awaitVersion(long version) {
		this.daemons.values()
			.stream()
			.filter(DaemonProcess::isAlive)
			.forEach((daemon) -> Await.until("version " + version + " on " + daemon.name(), CONFIGURATION_BOUND,
					() -> version(daemon) >= version));
	}

	/**
	 * Computes the answer that the engines must give.
	 * @param messages the whole prompt
	 * @param tokens length of the answer
	 * @return the text
	 */
	static String expected(List<Message> messages, int tokens) {
		return EngineText.answer(EngineText.digest(messages), 0, tokens);
	}

	/**
	 * Returns the tokens that all engines computed or generated.
	 * @return prompt and generated tokens
	 */
	long engineTokens() {
		return this.engines.values()
			.stream()
			.mapToLong((engine) -> engine.stats().promptTokens() + engine.stats().generatedTokens())
			.sum();
	}

	private ObjectNode firstConfiguration() {
		ObjectNode document = JSON.createObjectNode();
		document.put("policy", "latency_first");
		ObjectNode accounts = document.putObject("client_accounts");
		account(accounts.putObject("a"), KEY_A);
		account(accounts.putObject("b"), KEY_B);
		document.putObject("data_centres").putObject("dc1").put("region", "r1");
		ObjectNode servers = document.putObject("backend_servers");
		this.engines.forEach((name, engine) -> {
			ObjectNode server = servers.putObject(name);
			String address = this.relays.containsKey(name) ? relay(name).address() : engine.address();
			server.put("kind", "engine").put("address", address).put("data_centre", "dc1");
			server.putArray("models").add("m");
			server.put("checks_fencing", true).put("max_in_flight", 16).put("cache_tokens", 200_000);
		});
		servers.putObject("svc")
			.put("kind", "service")
			.put("address", this.service.address())
			.put("data_centre", "dc1")
			.put("max_in_flight", 32);
		return document;
	}

	private static void account(ObjectNode account, String key) {
		account.put("weight", 1.0).put("program_budget_tokens", 1_000_000).put("max_programs", 1_000);
		account.putArray("key_sha256").add(sha256(key));
		account.putArray("models").add("m");
		account.putArray("services").add("svc");
	}

	private static String sha256(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() throws IOException {
		this.daemons.values().forEach(DaemonProcess::close);
		for (Relay relay : this.relays.values()) {
			relay.close();
		}
		this.engines.values().forEach(EngineServer::close);
		this.service.close();
		this.vmList.close();
		this.log.close();
	}

}

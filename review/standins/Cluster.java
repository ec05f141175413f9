package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Daemons as separate processes, started with the run line of the deploy file, in front of
 * stand-ins of the store and of engines.
 */
final class Cluster implements AutoCloseable {

	static final String HOST = "ficu95.example";

	static final long READY_MS = 20_000;

	private static final String LIMITS = """
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}""";

	private final Path directory = Files.createTempDirectory("review");

	private final Store store = new Store();

	private final List<Engine> engines = new ArrayList<>();

	private final Map<String, Daemon> daemons = new TreeMap<>();

	private final List<String> command = readRunLine();

	Cluster() throws IOException {
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
	}

	Store store() {
		return this.store;
	}

	List<Engine> engines() {
		return this.engines;
	}

	Engine addEngine(String id, String service, String zone, int slots) throws IOException {
		Engine engine = new Engine(this.store, id, service, zone, slots);
		this.engines.add(engine);
		return engine;
	}

	List<Engine.Run> runs(String requestId) {
		return this.engines.stream()
			.flatMap((engine) -> engine.runs().stream())
			.filter((run) -> run.requestId().equals(requestId))
			.toList();
	}

	/** Writes a configuration; routes as JSON objects separated by commas. */
	void configure(int version, String routes) {
		this.store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
				+ "{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"engine\":{\"slots\":8,\"kv_capacity\":162687,\"event_tokens\":" + Engine.EVENT_TOKENS
				+ ",\"models\":[{\"name\":\"m\"}]}},"
				+ "{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
				+ LIMITS + "}");
	}

	static String turnRoute(int timeoutMs, double retainS) {
		return "{\"name\":\"r-hh2b9wu\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/pufi791/\",\"kind\":\"streaming\","
				+ "\"timeout_ms\":" + timeoutMs
				+ ",\"slo_ms\":250,\"priority\":0,\"service\":\"huvo11a\",\"attempts\":2,\"retain\":true,\"retain_s\":"
				+ retainS + ",\"sticky\":true,\"resumable\":false,\"gap_slo_ms\":150}";
	}

	static String plainRoute(String name, String prefix, String kind, int timeoutMs, int attempts) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
				+ "\",\"timeout_ms\":" + timeoutMs
				+ ",\"slo_ms\":500,\"priority\":2,\"service\":\"wuno96b\",\"attempts\":" + attempts + "}";
	}

	private static List<String> readRunLine() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run line");
		}
		return List.of(run.group(1).split(" "));
	}

	/** Starts a daemon; its process runs until the end of this cluster. */
	Daemon start(String name, String zone, int memoryMb, String storeAddress) throws IOException {
		Daemon previous = this.daemons.get(name);
		int port = (previous != null) ? previous.port : findPorts();
		Path settings = this.directory.resolve(name + ".toml");
		Files.writeString(settings, """
				node = "%1$s"
				role = "gateway"
				machine_class = "front"
				serves = ["front"]
				ip = "127.0.0.1"
				zone = "%2$s"
				region = "norte"
				port_range = [%3$d,%4$d]
				seed_nodes = []
				bootstrap = true
				loss_counts = false
				discovery = "platform"
				entry = "vip"
				heartbeat_ms = 1200
				[listen]
				front = "127.0.0.1:%5$d"
				ready = "127.0.0.1:%6$d"
				[limits]
				cpu_share = 0.75
				cpu_cores = 1
				memory_mb = %7$d
				max_fds = 8200
				[bounds]
				stable_window_ms = 3000
				drain_ms = 2000
				grace_s = 8
				config_apply_ms = 2000
				recovery_s = 12
				[platform]
				address = "%8$s"
				form = "log"
				writes_per_s = 800
				reads_per_s = 2000
				parts = %9$d
				append_ms = 2.0
				record_bytes = %10$d
				call_bytes = %11$d
				retain_s = 300
				part_mb = 200
				ttl_min_ms = 1000
				""".formatted(name, zone, port, port + 1, port + 2, port + 3, memoryMb,
				(storeAddress != null) ? storeAddress : this.store.address(), Store.PARTS, Store.RECORD_BYTES,
				Store.CALL_BYTES));
		ProcessBuilder builder = new ProcessBuilder(this.command);
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("HEMLOCKGW_CONFIG", settings.toString());
		File log = this.directory.resolve(name + ".log").toFile();
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		Daemon daemon = new Daemon(name, port, builder.start(), log.toPath());
		this.daemons.put(name, daemon);
		Trace.line("started", "daemon", name, "port", daemon.callerPort());
		return daemon;
	}

	private static int findPorts() throws IOException {
		for (int attempt = 0; attempt < 100; attempt++) {
			try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
				int port = first.getLocalPort();
				boolean free = port + 3 < 65_536;
				for (int next = port + 1; free && next <= port + 3; next++) {
					try (ServerSocket probe = new ServerSocket(next, 1, InetAddress.getByName("127.0.0.1"))) {
						free = probe.isBound();
					}
					catch (IOException ex) {
						free = false;
					}
				}
				if (free) {
					return port;
				}
			}
		}
		throw new IOException("no four consecutive free ports");
	}

	List<Daemon> daemons() {
		return new ArrayList<>(this.daemons.values());
	}

	Daemon daemon(String name) {
		return this.daemons.get(name);
	}

	/** Waits until all daemons have been ready for a while; false if one is not. */
	boolean awaitReady() {
		long until = Trace.now() + READY_MS;
		while (Trace.now() < until) {
			if (daemons().stream().allMatch(Daemon::isReady)) {
				Threads.sleep(3500);
				return daemons().stream().allMatch(Daemon::isReady);
			}
			Threads.sleep(50);
		}
		return false;
	}

	/** Copies the last lines of the daemons' logs that contain a text to the record. */
	void copyLogs(String text, int count) throws IOException {
		for (Daemon daemon : daemons()) {
			List<String> lines = Files.readAllLines(daemon.log, StandardCharsets.UTF_8)
				.stream()
				.filter((line) -> line.contains(text))
				.toList();
			lines.stream().limit(count).forEach((line) -> Trace.line("log", daemon.name, line));
			Trace.line("log", daemon.name, lines.size() + " lines with '" + text + "'");
		}
	}

	private void killAll() {
		for (Daemon daemon : daemons()) {
			daemon.process.destroyForcibly();
			try {
				daemon.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
		try (Stream<Path> files = Files.walk(this.directory)) {
			if (System.getenv("KEEP") == null) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
		}
		catch (IOException ex) {
			// The temporary folder stays.
		}
	}

	@Override
	public void close() throws IOException {
		killAll();
		for (Engine engine : this.engines) {
			engine.close();
		}
		this.store.close();
	}

	static final class Daemon {

		private final String name;

		private final int port;

		private final Process process;

		private final Path log;

		Daemon(String name, int port, Process process, Path log) {
			this.name = name;
			this.port = port;
			this.process = process;
			this.log = log;
		}

		String name() {
			return this.name;
		}

		int callerPort() {
			return this.port + 2;
		}

		Process process() {
			return this.process;
		}

		boolean isReady() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", this.port + 3), 300);
				socket.setSoTimeout(1000);
				socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				return HttpListener.readLine(socket.getInputStream()).contains(" 200 ");
			}
			catch (IOException ex) {
				return false;
			}
		}

		/** Sends a signal, for example STOP or CONT, to this daemon's process. */
		void signal(String signal) throws IOException {
			Trace.line("signal", "daemon", this.name, "signal", signal);
			try {
				new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}

	}

}

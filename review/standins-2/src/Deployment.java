import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the daemons with the command of the deploy file, restarts those that end, and
 * ends them all.
 */
final class Deployment implements AutoCloseable {

	private static final long RESTART_DELAY_MS = 500;

	/** Ports of a daemon: two internal ones, callers, readiness. */
	private static final int PORTS = 4;

	private final Path root;

	private final Path directory;

	private final List<String> command;

	private final String store;

	private final Map<String, Daemon> daemons = new TreeMap<>();

	private final CaseRecord record;

	private volatile boolean closing;

	Deployment(Path root, String store, CaseRecord record) throws IOException {
		this.root = root;
		this.store = store;
		this.record = record;
		this.directory = Files.createTempDirectory("review");
		Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"")
			.matcher(Files.readString(root.resolve("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no line 'run'");
		}
		this.command = List.of(run.group(1).split(" "));
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
	}

	static List<Integer> freePorts(int count) throws IOException {
		for (int first = 20000 + (int) (ProcessHandle.current().pid() * 37 % 9000); first < 32000; first += count) {
			List<ServerSocket> sockets = new ArrayList<>();
			try {
				List<Integer> ports = new ArrayList<>();
				for (int port = first; port < first + count; port++) {
					sockets.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
					ports.add(port);
				}
				return ports;
			}
			catch (IOException ex) {
				// The next ports are tried.
			}
			finally {
				for (ServerSocket socket : sockets) {
					socket.close();
				}
			}
		}
		throw new IOException("no free ports");
	}

	/** Starts daemons in data centres of their own. */
	void startAll(int count) throws IOException {
		List<Integer> ports = freePorts(PORTS * count);
		for (int number = 0; number < count; number++) {
			add("front-" + number, "zone-" + number, ports.subList(PORTS * number, PORTS * (number + 1)));
		}
		for (Daemon daemon : all()) {
			daemon.start();
		}
	}

	private void add(String name, String zone, List<Integer> ports) throws IOException {
		Path file = this.directory.resolve(name + ".toml");
		Files.writeString(file, """
				node = "%s"
				role = "gateway"
				machine_class = "front"
				serves = ["front"]
				ip = "127.0.0.1"
				zone = "%s"
				region = "region"
				port_range = [%d,%d]
				bootstrap = true
				[listen]
				front = "127.0.0.1:%d"
				ready = "127.0.0.1:%d"
				[limits]
				memory_mb = 450
				max_fds = 8200
				[bounds]
				stable_window_ms = 3000
				drain_ms = 2000
				grace_s = 8
				config_apply_ms = 2000
				recovery_s = 12
				[platform]
				address = "%s"
				form = "log"
				writes_per_s = 800
				reads_per_s = 2000
				parts = %d
				append_ms = 2.0
				part_mb_s = 20.0
				read_mb_s = 80.0
				record_bytes = %d
				call_bytes = %d
				retain_s = 300
				part_mb = 200
				ttl_min_ms = 1000
				""".formatted(name, zone, ports.get(0), ports.get(1), ports.get(2), ports.get(3),
				this.store, LogStore.PARTS, LogStore.RECORD_BYTES, LogStore.CALL_BYTES));
		this.daemons.put(name, new Daemon(name, file, ports.get(2), ports.get(3), ports.get(1)));
	}

	List<Daemon> all() {
		return List.copyOf(this.daemons.values());
	}

	boolean awaitReady(long limitMs) {
		long until = System.nanoTime() + limitMs * 1_000_000;
		while (System.nanoTime() - until < 0) {
			if (this.daemons.values().stream().allMatch(Daemon::isReady)) {
				return true;
			}
			LogStore.pause(50);
		}
		return false;
	}

	private void end() {
		this.closing = true;
		for (Daemon daemon : this.daemons.values()) {
			Process process = daemon.process;
			if (process != null) {
				process.destroyForcibly();
			}
		}
	}

	@Override
	public void close() throws IOException {
		end();
		for (Daemon daemon : this.daemons.values()) {
			try {
				if (daemon.process != null) {
					daemon.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}
		if (System.getenv("KEEP_LOGS") == null) {
			for (File file : this.directory.toFile().listFiles()) {
				Files.delete(file.toPath());
			}
			Files.delete(this.directory);
		}
	}

	/** One daemon, which is restarted when it ends by itself. */
	final class Daemon {

		final String name;

		final int port;

		private final Path settings;

		private final int readyPort;

		private final int metricsPort;

		private volatile Process process;

		private final List<Integer> ownEnds = new ArrayList<>();

		private volatile boolean wanted;

		Daemon(String name, Path settings, int port, int readyPort, int metricsPort) {
			this.name = name;
			this.settings = settings;
			this.port = port;
			this.readyPort = readyPort;
			this.metricsPort = metricsPort;
		}

		void start() throws IOException {
			this.wanted = true;
			launch();
		}

		private void launch() throws IOException {
			if (this.process != null) {
				Files.writeString(this.settings,
						Files.readString(this.settings).replace("bootstrap = true", "bootstrap = false"));
			}
			ProcessBuilder builder = new ProcessBuilder(Deployment.this.command);
			builder.directory(Deployment.this.root.toFile());
			builder.environment().put("HEMLOCKGW_CONFIG", this.settings.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(ProcessBuilder.Redirect
				.appendTo(Deployment.this.directory.resolve(this.name + ".log").toFile()));
			Process started = builder.start();
			this.process = started;
			started.onExit().thenAccept(this::ended);
		}

		// The platform restarts a process that ends, after a short delay.
		private void ended(Process ended) {
			if (!this.wanted || Deployment.this.closing || ended != this.process) {
				return;
			}
			synchronized (this.ownEnds) {
				this.ownEnds.add(ended.exitValue());
			}
			Deployment.this.record
				.add(this.name + " ended by itself with status " + ended.exitValue() + "; it is restarted");
			LogStore.pause(RESTART_DELAY_MS);
			if (!this.wanted || Deployment.this.closing) {
				return;
			}
			try {
				launch();
			}
			catch (IOException ex) {
				Deployment.this.record.add(this.name + " could not be restarted: " + ex);
			}
		}

		/** Kills the process, which is not restarted before the next {@link #start()}. */
		void kill() throws InterruptedException {
			this.wanted = false;
			this.process.destroyForcibly().waitFor();
		}

		boolean isReady() {
			return Client.sendOnce(this.readyPort, "GET", "/ready", Map.of(), new byte[0], 1000).status() == 200;
		}

		String metric(String metric) {
			String text = Client.sendOnce(this.metricsPort, "GET", "/metrics", Map.of(), new byte[0], 1000).body();
			Matcher matcher = Pattern.compile("(?m)^[a-z_]*" + metric + " (.*)$").matcher(text);
			return matcher.find() ? matcher.group(1) : "?";
		}

		/** Returns the exit statuses of the times that it ended by itself. */
		List<Integer> ownEnds() {
			synchronized (this.ownEnds) {
				return List.copyOf(this.ownEnds);
			}
		}

	}

}

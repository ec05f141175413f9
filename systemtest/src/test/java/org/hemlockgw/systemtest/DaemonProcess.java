package org.hemlockgw.systemtest;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A daemon as a process of its own, which tests kill, pause and stop.
 */
final class DaemonProcess implements AutoCloseable {

	private static final Pattern READY = Pattern.compile("ready caller=(\\S+) peer=(\\S+) admin=(\\S+)");

	private static final int START_TIMEOUT_S = 60;

	private static final int STOP_TIMEOUT_S = 60;

	private final String name;

	private final Process process;

	private final CompletableFuture<Matcher> ready = new CompletableFuture<>();

	private DaemonProcess(String name, Process process) {
		this.name = name;
		this.process = process;
	}

	static DaemonProcess start(String name, String dataCentre, String log, String vmList) throws IOException {
		Path directory = Files.createDirectories(Path.of("target", "systemtest"));
		Path settings = directory.resolve(name + "-" + System.nanoTime() + ".yaml");
		Files.writeString(settings,
				String.join("\n", "name: " + name, "data_centre: " + dataCentre, "weight: 1.0",
						"caller: {address: \"127.0.0.1:0\"}", "peer: {address: \"127.0.0.1:0\"}",
						"admin: {address: \"127.0.0.1:0\"}", "log: {address: \"" + log + "\"}",
						"vm_list: {address: \"" + vmList + "\"}", "batch_interval_ms: 5", ""));
		ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx256m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp", classPath(),
				"org.hemlockgw.daemon.Main", "--settings", settings.toString());
		builder.redirectError(ProcessBuilder.Redirect.appendTo(new File(directory.toFile(), name + ".log")));
		DaemonProcess daemon = new DaemonProcess(name, builder.start());
		Thread reader = new Thread(daemon::readOutput, name + "-output");
		reader.setDaemon(true);
		reader.start();
		return daemon;
	}

	private static String classPath() {
		// Surefire puts the class path into the manifest of a jar file.
		return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
	}

	private void readOutput() {
		try (BufferedReader lines = new BufferedReader(
				new InputStreamReader(this.process.getInputStream(), StandardCharsets.UTF_8))) {
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				Matcher matcher = READY.matcher(line);
				if (matcher.matches()) {
					this.ready.complete(matcher);
				}
			}
		}
		catch (IOException ex) {
			this.ready.completeExceptionally(ex);
		}
		this.ready.completeExceptionally(new IllegalStateException("daemon " + this.name + " ended before ready"));
	}

	String name() {
		return this.name;
	}

	String caller() {
		return address(1);
	}

	String peer() {
		return address(2);
	}

	String admin() {
		return address(3);
	}

	private String address(int group) {
		return this.ready.orTimeout(START_TIMEOUT_S, TimeUnit.SECONDS).join().group(group);
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/** Ends the process at once, like {@code kill -9}. */
	void kill() {
		this.process.destroyForcibly();
		this.process.onExit().orTimeout(STOP_TIMEOUT_S, TimeUnit.SECONDS).join();
	}

	/**
	 * Asks for a graceful shutdown and waits for the end.
	 * @return the exit status
	 */
	int stopGracefully() {
		this.process.destroy();
		return this.process.onExit().orTimeout(STOP_TIMEOUT_S, TimeUnit.SECONDS).join().exitValue();
	}

	void pause() throws IOException, InterruptedException {
		signal("STOP");
	}

	void resume() throws IOException, InterruptedException {
		signal("CONT");
	}

	private void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	@Override
	public void close() {
		if (this.process.isAlive()) {
			kill();
		}
	}

}

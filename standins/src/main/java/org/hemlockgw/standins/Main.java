package org.hemlockgw.standins;

import java.util.concurrent.CountDownLatch;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import org.hemlockgw.standins.engine.EngineOptions;
import org.hemlockgw.standins.engine.EngineServer;
import org.hemlockgw.standins.log.LogOptions;
import org.hemlockgw.standins.log.LogServer;
import org.hemlockgw.standins.service.PlainServer;
import org.hemlockgw.standins.service.ServiceOptions;
import org.hemlockgw.standins.vmlist.VmListOptions;
import org.hemlockgw.standins.vmlist.VmListServer;

/**
 * Runs one stand-in until SIGTERM.
 */
@Command(name = "standin", mixinStandardHelpOptions = true, description = "Runs a stand-in of an outside system.")
public final class Main {

	private Main() {
	}

	public static void main(String[] args) {
		System.exit(new CommandLine(new Main()).execute(args));
	}

	@Command(name = "log", mixinStandardHelpOptions = true, description = "Runs the log service.")
	int log(@Option(names = "--address", defaultValue = "127.0.0.1:0", description = "ip:port") String address,
			@Option(names = "--appends-per-s", defaultValue = "400", description = "0 for no limit") long appendsPerS,
			@Option(names = "--retention-ms", defaultValue = "600000", description = "0 for ever") long retentionMs)
			throws InterruptedException {
		LogServer server = new LogServer(new LogOptions(appendsPerS, retentionMs), address);
		server.start();
		return runUntilStopped(server.address(), server);
	}

	@Command(name = "vmlist", mixinStandardHelpOptions = true, description = "Runs the VM list.")
	int vmlist(@Option(names = "--address", defaultValue = "127.0.0.1:0", description = "ip:port") String address,
			@Option(names = "--lag-ms", defaultValue = "0", description = "age of the list") long lagMs)
			throws InterruptedException {
		VmListServer server = new VmListServer(new VmListOptions(lagMs), address);
		server.start();
		return runUntilStopped(server.address(), server);
	}

	@Command(name = "engine", mixinStandardHelpOptions = true, description = "Runs a model engine.")
	int engine(@Option(names = "--address", defaultValue = "127.0.0.1:0", description = "ip:port") String address,
			@Option(names = "--prefill-tokens-per-s", defaultValue = "20000") double prefillTokensPerS,
			@Option(names = "--decode-tokens-per-s", defaultValue = "1000") double decodeTokensPerS,
			@Option(names = "--max-batch", defaultValue = "32") int maxBatch,
			@Option(names = "--cache-tokens", defaultValue = "1000000") long cacheTokens,
			@Option(names = "--prefill-chunk-tokens", defaultValue = "512") int prefillChunkTokens,
			@Option(names = "--restart-ms", defaultValue = "2000") long restartMs,
			@Option(names = "--crash-marker", defaultValue = "") String crashMarker,
			@Option(names = "--checks-fencing", defaultValue = "true", arity = "1") boolean checksFencing)
			throws InterruptedException {
		EngineServer server = new EngineServer(new EngineOptions(prefillTokensPerS, decodeTokensPerS, maxBatch,
				cacheTokens, prefillChunkTokens, restartMs, crashMarker, checksFencing), address);
		server.start();
		return runUntilStopped(server.address(), server);
	}

	@Command(name = "service", mixinStandardHelpOptions = true, description = "Runs a plain service.")
	int service(@Option(names = "--address", defaultValue = "127.0.0.1:0", description = "ip:port") String address,
			@Option(names = "--delay-ms", defaultValue = "0", description = "time of a call") long delayMs)
			throws InterruptedException {
		PlainServer server = new PlainServer(new ServiceOptions(delayMs), address);
		server.start();
		return runUntilStopped(server.address(), server);
	}

	private static int runUntilStopped(String address, AutoCloseable server) throws InterruptedException {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> close(server)));
		System.out.println("listening on " + address);
		new CountDownLatch(1).await();
		return 0;
	}

	private static void close(AutoCloseable server) {
		try {
			server.close();
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot stop the server", ex);
		}
	}

}

package org.hemlockgw.standins;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class MainTests {

	private static final int LIMIT_SECONDS = 30;

	@ParameterizedTest
	@ValueSource(strings = { "log", "vmlist", "engine", "service" })
	@Timeout(2 * LIMIT_SECONDS)
	void eachSubcommandPrintsItsAddressListensAndStopsOnSigterm(String subcommand) throws Exception {
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		Process process = new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), Main.class.getName(),
				subcommand, "--address", "127.0.0.1:0")
			.redirectError(ProcessBuilder.Redirect.INHERIT)
			.start();
		try (BufferedReader output = process.inputReader()) {
			String line = output.readLine();
			assertThat(line).matches("listening on 127\\.0\\.0\\.1:[1-9]\\d*");
			int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), LIMIT_SECONDS * 1000);
			}
			process.destroy();
			assertThat(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		}
		finally {
			process.destroyForcibly();
		}
	}

}

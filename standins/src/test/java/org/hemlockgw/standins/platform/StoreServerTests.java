package org.hemlockgw.standins.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.standins.http.StandinHttpServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the faults of {@link StoreServer}.
 */
@Timeout(30)
class StoreServerTests {

	private static final int RESPONSE_TIMEOUT_MS = 1500;

	private static final long SEED = 5;

	private static final String RECORD = "\0\0\0\3\1kv";

	private static final String APPEND = "POST /log-append?topic=keyed.t&part=0&producer=p&epoch=1&seq=%d HTTP/1.1\r\n"
			+ "Host: store\r\nContent-Length: " + RECORD.length() + "\r\n\r\n" + RECORD;

	private static final String LONG_POLL = "GET /log-read?topic=keyed.t&part=0&from=0&wait_ms=20000 HTTP/1.1\r\n"
			+ "Host: store\r\n\r\n";

	private static final String OWNERS = "GET /log-owners HTTP/1.1\r\nHost: store\r\n\r\n";

	private final StoreServer store = new StoreServer(1);

	@AfterEach
	void close() {
		this.store.close();
	}

	// Guards against faults that let calls through or execute them against their
	// description, and against connections that recover from silence.
	@ParameterizedTest
	@CsvSource({ "NONE, 200, 1, 200", "BUSY, 503, 0, closed", "RESET, reset, 0, none", "SILENT, silent, 0, silent",
			"SLOW, 200, 1, 200" })
	void faultAppliesToAllClients(StoreFault fault, String outcome, long executed, String outcomeAfterwards)
			throws IOException {
		try (StandinHttpServer other = this.store.openAddress()) {
			for (String address : List.of(this.store.address(), other.address())) {
				try (Socket connection = connect(address); Socket next = connect(address)) {
					long before = end();
					this.store.setFault(fault);
					assertThat(send(connection, APPEND.formatted(before))).isEqualTo(outcome);
					this.store.setFault(StoreFault.NONE);
					assertThat(end() - before).isEqualTo(executed);
					if (!outcomeAfterwards.equals("none")) {
						assertThat(send(connection, APPEND.formatted(end()))).isEqualTo(outcomeAfterwards);
					}
					assertThat(send(next, OWNERS)).isEqualTo("200");
				}
			}
		}
	}

	// Guards against reads that outlast a fault of their connection.
	@ParameterizedTest
	@CsvSource({ "RESET, reset", "SILENT, silent" })
	void callInProgressIsInterrupted(StoreFault fault, String outcome) throws IOException {
		try (Socket connection = connect(this.store.address()); Socket next = connect(this.store.address())) {
			connection.getOutputStream().write(LONG_POLL.getBytes(StandardCharsets.ISO_8859_1));
			assertThat(send(next, OWNERS)).isEqualTo("200");
			this.store.setFault(fault);
			this.store.put("keyed.t", "k", "v");
			assertThat(receive(connection)).isEqualTo(outcome);
		}
	}

	// Guards against a call that is not executed because its answer is lost, and against
	// losses that do not follow from the seed.
	@Test
	void lostAnswersAreDrawnFromSeed() throws IOException {
		this.store.setFaultSeed(SEED);
		Random random = new Random(SEED);
		for (int i = 0; i < 6; i++) {
			this.store.setFault(StoreFault.LOSING);
			try (Socket connection = connect(this.store.address())) {
				assertThat(send(connection, APPEND.formatted(i)))
					.isEqualTo((random.nextDouble() < FaultInjector.LOSS_SHARE) ? "silent" : "200");
			}
			this.store.setFault(StoreFault.NONE);
			assertThat(end()).isEqualTo(i + 1);
		}
	}

	private long end() throws IOException {
		try (Socket connection = connect(this.store.address())) {
			connection.getOutputStream()
				.write("GET /log-newest?topic=keyed.t&part=0 HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			String response = new String(connection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			return Long.parseLong(response.replaceAll("(?s).*\"end\":(\\d+).*", "$1"));
		}
	}

	private static Socket connect(String address) throws IOException {
		Socket connection = new Socket(InetAddress.getLoopbackAddress(),
				Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
		connection.setSoTimeout(RESPONSE_TIMEOUT_MS);
		return connection;
	}

	private static String send(Socket connection, String request) throws IOException {
		connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
		return receive(connection);
	}

	// Returns the status of the response, or how the connection behaved without one.
	private static String receive(Socket connection) throws IOException {
		try {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
			String line = in.readLine();
			return (line != null) ? line.split(" ")[1] : "closed";
		}
		catch (SocketTimeoutException ex) {
			return "silent";
		}
		catch (SocketException ex) {
			return "reset";
		}
	}

}

package org.hemlockgw.remote;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.platform.EngineRequest;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.standins.platform.RawEngine;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of responses that never end.
 */
@Timeout(60)
class EndlessResponseTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final String FILLER = "x".repeat(16_000);

	/** Above the memory that all bodies may take, and what the network buffers. */
	private static final long MAX_WRITTEN_BYTES = BodyMemory.GUARANTEED_BYTES + 32L * 1024 * 1024
			+ Runtime.getRuntime().maxMemory() / 10;

	private final AtomicLong written = new AtomicLong();

	// Guards against a process that runs out of memory because it keeps a response that
	// never ends.
	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "line|false", "line|true", "header|false", "header|true", "headers|false",
			"headers|true", "body|false", "error|false", "error|true", "chunks|false", "chunks|true", "event|true" })
	void responseWithoutEndFails(String kind, boolean engine) throws Exception {
		try (RawEngine server = new RawEngine((connection, request) -> writeWithoutEnd(connection, kind))) {
			CompletableFuture<?> call = engine ? generate(server) : callService(server);
			CallFailure failure = TestCalls.failure(call);
			assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(this.written.get()).isLessThan(MAX_WRITTEN_BYTES);
		}
	}

	private static CompletableFuture<?> generate(RawEngine server) {
		EngineRequest request = new EngineRequest("r1", "acc/p", "m", List.of(new Message("user", "hello")), "", 0, 5,
				"");
		return new HttpEngineClient(server.address(), TestCalls.EXECUTOR).generate(request, LIMIT, (chunk) -> {
		});
	}

	private static CompletableFuture<?> callService(RawEngine server) {
		return new HttpPlainServiceClient(server.address(), TestCalls.EXECUTOR).call("r1", "order", new byte[0], LIMIT);
	}

	private boolean writeWithoutEnd(RawEngine.Connection connection, String kind) throws IOException {
		connection.write(switch (kind) {
			case "line" -> "HTTP/1.1 200 ";
			case "header" -> "HTTP/1.1 200 OK\r\nX-Filler: ";
			case "headers" -> "HTTP/1.1 200 OK\r\n";
			case "error" -> "HTTP/1.1 503 No\r\n\r\n";
			case "chunks" -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
			case "event" -> "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
			default -> "HTTP/1.1 200 OK\r\n\r\n";
		});
		String part = switch (kind) {
			case "headers" -> "X-Filler: " + FILLER + "\r\n";
			case "chunks" -> Integer.toHexString(FILLER.length()) + "\r\n" + FILLER + "\r\n";
			default -> FILLER;
		};
		while (this.written.get() < MAX_WRITTEN_BYTES) {
			connection.write(part);
			this.written.addAndGet(part.length());
		}
		return false;
	}

	// Guards against small bodies that fail because of large ones, and against memory
	// that is not released.
	@ParameterizedTest
	@CsvSource({ "100, true", "65536, true", "65537, false", "100000, false" })
	void bodyIsReadUpToLimit(int bytes, boolean read) {
		BodyMemory memory = new BodyMemory(80_000, 10_000);
		for (int i = 0; i < 3; i++) {
			assertThat(isRead(memory, bytes)).isEqualTo(read);
		}
		assertThat(isRead(new BodyMemory(80_000, 80_000), 80_000)).isTrue();
		assertThat(isRead(new BodyMemory(80_000, 200_000), 80_001)).isFalse();
	}

	private static boolean isRead(BodyMemory memory, int bytes) {
		try {
			return memory.read(new ByteArrayInputStream(new byte[bytes])).length == bytes;
		}
		catch (IOException ex) {
			return false;
		}
	}

}

package org.hemlockgw.gateway.entry;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link EventScanner}.
 */
class EventScannerTests {

	private static final String STREAM = "id: 1\ndata: one\n\nid: 2\ndata:two\ndata: more\n\n: comment\n\n"
			+ "x-version: 3\nid: 3\ndata:\n\n";

	// Guards against event data that depends on how the stream is divided into parts.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 1000 })
	void eventDataIsIndependentOfPartSize(int partBytes) {
		EventScanner scanner = new EventScanner();
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int from = 0; from < bytes.length; from += partBytes) {
			scanner.append(Unpooled.wrappedBuffer(bytes, from, Math.min(partBytes, bytes.length - from)));
		}
		assertThat(new String(scanner.eventData(), StandardCharsets.UTF_8)).isEqualTo("one\ntwo\nmore\n\n");
		assertThat(scanner.eventCount()).isEqualTo(3);
		assertThat(scanner.isAtEventBoundary()).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "'data: a\r\n\r\n', 1, true", "'data: a\r\rdata: b\r\r', 2, true", "'data: a\n', 0, false",
			"'data: a', 0, false", "'', 0, true", "'datab: a\n\n', 0, true" })
	void emptyLineEndsEvent(String text, int events, boolean atBoundary) {
		EventScanner scanner = new EventScanner();
		scanner.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
		assertThat(scanner.eventCount()).isEqualTo(events);
		assertThat(scanner.isAtEventBoundary()).isEqualTo(atBoundary);
	}

	// Guards against a stream that breaks off within an event and is taken for complete.
	@ParameterizedTest
	@CsvSource({ "'', true", "'id: 2', false", "'id: 2\n', false", "'event: token\n', false", "'x-version: 3\n', false",
			"'data', false", "'data: b\n', false", "'id: 2\ndata: b\n', false", "'id: 2\ndata: b\r\n', false",
			"'id: 2\r', false", "'id: 2\r\n', false", "'id: 2\n: comment\n', false", "'unknown\n', false",
			"': comment', false", "': comment\n', true", "': comment\r', true", "':\n\n', true", "'\n', true",
			"'id: 2\n\n', true", "'id: 2\r\n\r', true", "'id: 2\r\r', true", "'id: 2\n: comment\n\n', true" })
	void streamIsCompleteBetweenEventsOnly(String rest, boolean complete) {
		EventScanner scanner = new EventScanner();
		scanner.append(Unpooled.copiedBuffer("id: 1\ndata: a\n\n", StandardCharsets.UTF_8));
		for (char next : rest.toCharArray()) {
			scanner.append(Unpooled.copiedBuffer(String.valueOf(next), StandardCharsets.UTF_8));
		}
		assertThat(scanner.isComplete()).isEqualTo(complete);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "\n", ": comment\n\n", "id: 1\n\n" })
	void streamWithoutEventIsIncomplete(String text) {
		EventScanner scanner = new EventScanner();
		scanner.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
		assertThat(scanner.isComplete()).isFalse();
	}

}

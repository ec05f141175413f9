package org.hemlockgw.gateway.owner;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.store.KeyedValue;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link CopyBuffer}.
 */
class CopyBufferTests {

	private static final long EPOCH = 4;

	private static final MemberName HOLDER = new MemberName("127.0.0.1:1", "a", "x");

	private static final MemberName NEW_HOLDER = new MemberName("127.0.0.1:2", "a", "y");

	private final CopyBuffer buffer = new CopyBuffer(System::nanoTime);

	// Guards against copies that are sent repeatedly to the same holder, and against
	// copies that are withheld from a new holder or were added after the last delivery.
	@ParameterizedTest
	@CsvSource({ "2, 2, 0, 0", "2, 1, 0, 2", "2, 2, 1, 3" })
	void holderIsOfferedCopiesThatItHasNotReceived(int kept, int delivered, int keptLater, int remaining) {
		this.buffer.put(1, EPOCH, records(0, kept));
		this.buffer.markDelivered(1, HOLDER, delivered);
		this.buffer.put(1, EPOCH, records(kept, keptLater));
		assertThat(this.buffer.undelivered(1, HOLDER)).hasSize(remaining);
		assertThat(this.buffer.undelivered(1, NEW_HOLDER)).hasSize(kept + keptLater);
		assertThat(this.buffer.undelivered(2, HOLDER)).isEmpty();
	}

	// Guards against copies from a writer whose shard a later writer has taken over.
	@ParameterizedTest
	@CsvSource({ "4, 6, false", "6, 6, true", "8, 6, true" })
	void copiesFromEarlierWriterAreRejected(long writer, long collector, boolean kept) {
		this.buffer.collect(1, collector);
		assertThat(this.buffer.put(1, writer, records(0, 1))).isEqualTo(kept);
	}

	private static List<KeyedValue> records(int first, int count) {
		return IntStream.range(first, first + count)
			.mapToObj((i) -> new KeyedValue("k" + i, new byte[] { (byte) i }))
			.toList();
	}

}

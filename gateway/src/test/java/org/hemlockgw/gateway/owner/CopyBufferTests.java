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

	private static final MemberName NEXT_HOLDER = new MemberName("127.0.0.1:2", "a", "y");

	private final CopyBuffer stash = new CopyBuffer(System::nanoTime);

	// Guards against copies that are sent to a holder again and again, and against copies
	// that are held back from a new holder or came after the last delivery.
	@ParameterizedTest
	@CsvSource({ "2, 2, 0, 0", "2, 1, 0, 2", "2, 2, 1, 3" })
	void holderIsGivenWhatItLacks(int kept, int delivered, int keptLater, int left) {
		this.stash.put(1, EPOCH, records(0, kept));
		this.stash.markDelivered(1, HOLDER, delivered);
		this.stash.put(1, EPOCH, records(kept, keptLater));
		assertThat(this.stash.undelivered(1, HOLDER)).hasSize(left);
		assertThat(this.stash.undelivered(1, NEXT_HOLDER)).hasSize(kept + keptLater);
		assertThat(this.stash.undelivered(2, HOLDER)).isEmpty();
	}

	// Guards against copies of a writer that was replaced.
	@ParameterizedTest
	@CsvSource({ "4, 6, false", "6, 6, true", "8, 6, true" })
	void earlierWriterIsRefused(long writer, long collector, boolean kept) {
		this.stash.collect(1, collector);
		assertThat(this.stash.put(1, writer, records(0, 1))).isEqualTo(kept);
	}

	private static List<KeyedValue> records(int first, int count) {
		return IntStream.range(first, first + count)
			.mapToObj((i) -> new KeyedValue("k" + i, new byte[] { (byte) i }))
			.toList();
	}

}

package org.hemlockgw.core.retry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RecentContents}.
 */
class RecentContentsTests {

	private final AtomicLong clock = new AtomicLong(Long.MAX_VALUE - 1000);

	private final RecentContents contents = new RecentContents(this.clock::get);

	// Guards against content that is never quarantined because it was processed long ago.
	@ParameterizedTest
	@CsvSource({ "0, true", "119, true", "120, false" })
	void contentIsRememberedForLimitedTime(long ageSeconds, boolean expected) {
		this.contents.add(7);
		this.clock.addAndGet(TimeUnit.SECONDS.toNanos(ageSeconds));
		assertThat(this.contents.contains(7)).isEqualTo(expected);
		assertThat(this.contents.contains(8)).isFalse();
	}

	// Guards against memory that grows with each content.
	@Test
	void oldestContentIsForgotten() {
		for (int i = 0; i < RecentContents.MAX_CONTENTS; i++) {
			this.contents.add(i);
		}
		this.contents.add(0);
		this.contents.add(-1);
		assertThat(this.contents.contains(0)).isTrue();
		assertThat(this.contents.contains(1)).isFalse();
		assertThat(this.contents.contains(2)).isTrue();
	}

}

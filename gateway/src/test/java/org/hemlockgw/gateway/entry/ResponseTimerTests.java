package org.hemlockgw.gateway.entry;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.pool.ResponseTiming;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ResponseTimer}.
 */
class ResponseTimerTests {

	private long nowMs;

	// Guards against reading times that count as pauses between events, against pauses of
	// the caller that make a server seem slow, and against events that arrive together.
	// Each part is TIME:EVENTS in milliseconds and events so far; "p" pauses reading.
	@ParameterizedTest
	@CsvSource({ "40:1 60:2 80:3, 3, 40000, 20000", "40:1 50:1 80:3, 3, 40000, 20000", "40:1 p 900:3, 3, 40000, 0",
			"40:3, 3, 40000, 0", "40:2 60:3 80:4, 4, 40000, 20000", "70:0, 0, 70000, 0" })
	void measuresFirstEventAndPauses(String parts, int events, int firstMicros, int gapMicros) {
		ResponseTimer timer = new ResponseTimer(() -> this.nowMs * 1_000_000);
		for (String part : parts.split(" ")) {
			if (part.equals("p")) {
				timer.pause();
				continue;
			}
			this.nowMs = Long.parseLong(part.substring(0, part.indexOf(':')));
			timer.received(Integer.parseInt(part.substring(part.indexOf(':') + 1)));
		}
		assertThat(timer.timing(events)).isEqualTo(new ResponseTiming(Math.max(1, events), firstMicros, gapMicros));
	}

}

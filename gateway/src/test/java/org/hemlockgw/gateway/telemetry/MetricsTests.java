package org.hemlockgw.gateway.telemetry;

import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Metrics}.
 */
class MetricsTests {

	private final Metrics metrics = new Metrics();

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			hemlockgw_answered{route="a"} 3
			hemlockgw_turns 4
			hemlockgw_wait_ms{quantile="0.5"} 50
			hemlockgw_wait_ms{quantile="0.95"} 95
			hemlockgw_wait_ms{quantile="0.99"} 99
			hemlockgw_wait_ms_max 100
			hemlockgw_wait_ms_count 100
			""")
	void metricsAreRenderedAsText(String line) {
		IntStream.range(0, 3).forEach((i) -> this.metrics.increment(Metrics.withLabel("answered", "route", "a")));
		this.metrics.setGauge("turns", 5);
		this.metrics.setGauge("turns", 4);
		IntStream.rangeClosed(1, 100).forEach((i) -> this.metrics.record("wait_ms", i));
		assertThat(this.metrics.render().lines().toList()).contains(line);
	}

	// Guards against a histogram that rejects a negative duration, measured when the
	// clock was set back, or a duration of hours.
	@ParameterizedTest
	@CsvSource({ "-5, 0", "0, 0", "7200000, 7200000" })
	void extremeValuesAreRecorded(long value, long expected) {
		this.metrics.record("ms", value);
		String maxLine = this.metrics.render()
			.lines()
			.filter((line) -> line.startsWith("hemlockgw_ms_max "))
			.findFirst()
			.orElse("");
		double max = Double.parseDouble(maxLine.substring(maxLine.indexOf(' ') + 1));
		assertThat(max).isWithin(0.01 * expected).of(expected);
	}

}

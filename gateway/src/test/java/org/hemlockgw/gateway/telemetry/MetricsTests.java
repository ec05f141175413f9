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
	void countersAndDistributionsAreText(String line) {
		IntStream.range(0, 3).forEach((i) -> this.metrics.increment(Metrics.withLabel("answered", "route", "a")));
		this.metrics.setGauge("turns", 5);
		this.metrics.setGauge("turns", 4);
		IntStream.rangeClosed(1, 100).forEach((i) -> this.metrics.record("wait_ms", i));
		assertThat(this.metrics.render().lines().toList()).contains(line);
	}

	// Guards against a distribution that fails on a clock that went back, or on a value
	// of hours.
	@ParameterizedTest
	@CsvSource({ "-5, 0", "0, 0", "7200000, 7200000" })
	void valuesOutOfTheOrdinaryAreRecorded(long value, long expected) {
		this.metrics.record("ms", value);
		String last = this.metrics.render()
			.lines()
			.filter((line) -> line.startsWith("hemlockgw_ms_max "))
			.findFirst()
			.orElse("");
		double max = Double.parseDouble(last.substring(last.indexOf(' ') + 1));
		assertThat(max).isWithin(0.01 * expected).of(expected);
	}

}

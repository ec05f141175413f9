package org.hemlockgw.daemon.admin;

import com.codahale.metrics.Metered;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes metrics as JSON. Rates are per second, durations of timers in milliseconds.
 */
final class MetricsJson {

	private static final double NANOS_PER_MS = 1_000_000;

	private MetricsJson() {
	}

	static ObjectNode write(MetricRegistry metrics) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		ObjectNode gauges = json.putObject("gauges");
		metrics.getGauges().forEach((name, gauge) -> gauges.putPOJO(name, gauge.getValue()));
		ObjectNode counters = json.putObject("counters");
		metrics.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
		ObjectNode meters = json.putObject("meters");
		metrics.getMeters().forEach((name, meter) -> rates(meters.putObject(name), meter));
		ObjectNode histograms = json.putObject("histograms");
		metrics.getHistograms()
			.forEach((name, histogram) -> values(histograms.putObject(name).put("count", histogram.getCount()),
					histogram.getSnapshot(), 1));
		ObjectNode timers = json.putObject("timers");
		metrics.getTimers().forEach((name, timer) -> {
			ObjectNode node = timers.putObject(name);
			rates(node, timer);
			values(node, timer.getSnapshot(), NANOS_PER_MS);
		});
		return json;
	}

	private static void rates(ObjectNode json, Metered metered) {
		json.put("count", metered.getCount());
		json.put("mean_rate", metered.getMeanRate());
		json.put("m1_rate", metered.getOneMinuteRate());
	}

	private static void values(ObjectNode json, Snapshot snapshot, double unit) {
		json.put("min", snapshot.getMin() / unit);
		json.put("mean", snapshot.getMean() / unit);
		json.put("p50", snapshot.getMedian() / unit);
		json.put("p95", snapshot.get95thPercentile() / unit);
		json.put("p99", snapshot.get99thPercentile() / unit);
		json.put("max", snapshot.getMax() / unit);
	}

}

package org.hemlockgw.gateway.telemetry;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counters, gauges and histograms by name, rendered as text. Confined to the event loop.
 */
public final class Metrics {

	/**
	 * Significant digits of recorded values; a resolution of one percent is sufficient
	 * and takes 10 KB per histogram.
	 */
	private static final int SIGNIFICANT_DIGITS = 2;

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99 };

	private static final double PERCENT = 100;

	private final Map<String, Long> countersAndGauges = new TreeMap<>();

	private final Map<String, Histogram> histograms = new TreeMap<>();

	public void increment(String name) {
		this.countersAndGauges.merge(name, 1L, Long::sum);
	}

	/**
	 * Sets the value of a gauge.
	 * @param name name of the gauge
	 * @param value current value
	 */
	public void setGauge(String name, long value) {
		this.countersAndGauges.put(name, value);
	}

	/**
	 * Records a value in a histogram.
	 * @param name name of the histogram, ending with its unit
	 * @param value the value; negative values are recorded as 0
	 */
	public void record(String name, long value) {
		this.histograms.computeIfAbsent(name, (key) -> new Histogram(SIGNIFICANT_DIGITS))
			.recordValue(Math.max(0, value));
	}

	/**
	 * Adds a label to the name of a metric.
	 * @param name name of the metric
	 * @param label name of the label
	 * @param value value of the label
	 * @return name with label
	 */
	public static String withLabel(String name, String label, Object value) {
		return name + "{" + label + "=\"" + value + "\"}";
	}

	/**
	 * Renders all counters, gauges and histograms.
	 * @return a line each: name, space, value
	 */
	public String render() {
		StringBuilder lines = new StringBuilder();
		this.countersAndGauges.forEach((name, value) -> appendLine(lines, name, value));
		this.histograms.forEach((name, histogram) -> {
			for (double quantile : QUANTILES) {
				appendLine(lines, withLabel(name, "quantile", quantile),
						histogram.getValueAtPercentile(PERCENT * quantile));
			}
			appendLine(lines, name + "_max", histogram.getMaxValue());
			appendLine(lines, name + "_count", histogram.getTotalCount());
		});
		return lines.toString();
	}

	private static void appendLine(StringBuilder lines, String name, long value) {
		lines.append("hemlockgw_").append(name).append(' ').append(value).append('\n');
	}

}

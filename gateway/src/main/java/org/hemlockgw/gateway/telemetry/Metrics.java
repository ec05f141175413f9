package org.hemlockgw.gateway.telemetry;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counters and distributions by name, written as text. Confined to the event loop.
 */
public final class Metrics {

	/** Significant digits of recorded values; a percent is enough and takes 10 KB. */
	private static final int DIGITS = 2;

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99 };

	private static final double PERCENT = 100;

	private final Map<String, Long> counters = new TreeMap<>();

	private final Map<String, Histogram> distributions = new TreeMap<>();

	public void increment(String name) {
		this.counters.merge(name, 1L, Long::sum);
	}

	/**
	 * Sets a value that may also fall.
	 * @param name its name
	 * @param value the value
	 */
	public void setGauge(String name, long value) {
		this.counters.put(name, value);
	}

	/**
	 * Records a value of a distribution.
	 * @param name its name, with its unit at the end
	 * @param value the value; less than zero counts as zero
	 */
	public void record(String name, long value) {
		this.distributions.computeIfAbsent(name, (key) -> new Histogram(DIGITS)).recordValue(Math.max(0, value));
	}

	/**
	 * Adds a label to a name.
	 * @param name the name
	 * @param label name of the label
	 * @param value value of the label
	 * @return name with label
	 */
	public static String withLabel(String name, String label, Object value) {
		return name + "{" + label + "=\"" + value + "\"}";
	}

	/**
	 * Returns all counters and distributions.
	 * @return a line each: name, space, value
	 */
	public String render() {
		StringBuilder lines = new StringBuilder();
		this.counters.forEach((name, value) -> line(lines, name, value));
		this.distributions.forEach((name, values) -> {
			for (double quantile : QUANTILES) {
				line(lines, withLabel(name, "quantile", quantile), values.getValueAtPercentile(PERCENT * quantile));
			}
			line(lines, name + "_max", values.getMaxValue());
			line(lines, name + "_count", values.getTotalCount());
		});
		return lines.toString();
	}

	private static void line(StringBuilder lines, String name, long value) {
		lines.append("hemlockgw_").append(name).append(' ').append(value).append('\n');
	}

}

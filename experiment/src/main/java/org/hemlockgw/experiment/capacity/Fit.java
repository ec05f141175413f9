package org.hemlockgw.experiment.capacity;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param slope change of the value for each unit of size
 * @param intercept value at size 0
 * @param greatestDeviation greatest distance between a point and the line, in units of
 * the value
 */
record Fit(double slope, double intercept, double greatestDeviation) {

	static Fit of(List<Point> points) {
		double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
		double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
		double products = 0;
		double squares = 0;
		for (Point p : points) {
			products += (p.size() - meanSize) * (p.value() - meanValue);
			squares += (p.size() - meanSize) * (p.size() - meanSize);
		}
		double slope = (squares > 0) ? products / squares : 0;
		double intercept = meanValue - slope * meanSize;
		double deviation = points.stream()
			.mapToDouble((p) -> Math.abs(p.value() - intercept - slope * p.size()))
			.max()
			.orElse(0);
		return new Fit(slope, intercept, deviation);
	}

}

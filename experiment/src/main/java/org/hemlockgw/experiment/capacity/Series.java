package org.hemlockgw.experiment.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * Figures of one quantity over sizes.
 *
 * @param name name of the row in the output
 * @param unit unit of the values
 * @param sizeUnit what the sizes count
 * @param points the figures, by increasing size
 */
record Series(String name, String unit, String sizeUnit, List<Point> points) {

	Series {
		points = List.copyOf(points);
	}

	static Series measure(String name, String unit, String sizeUnit, int[] sizes, Figure figure) throws Exception {
		List<Point> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new Point(size, figure.at(size)));
		}
		return new Series(name, unit, sizeUnit, points);
	}

	Fit fit() {
		return Fit.of(this.points);
	}

	/**
	 * Measures one figure.
	 */
	@FunctionalInterface
	interface Figure {

		double at(int size) throws Exception;

	}

}

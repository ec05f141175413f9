package org.hemlockgw.experiment.capacity;

import java.util.List;

/**
 * Measures what grows with one or more sizes.
 */
interface Slope {

	/**
	 * Returns the first part of the names of its series.
	 * @return the name
	 */
	String name();

	/**
	 * Measures all series.
	 * @param measure repetitions and medians
	 * @return the series
	 * @throws Exception if a measured part fails
	 */
	List<Series> measure(Measure measure) throws Exception;

}

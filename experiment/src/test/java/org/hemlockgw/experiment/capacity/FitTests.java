package org.hemlockgw.experiment.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FitTests {

	// Guards against swapped axes and against a deviation taken from the mean.
	@Test
	void fitsTheLeastSquaresLine() {
		Fit fit = Fit.of(List.of(new Point(0, 4), new Point(10, 21), new Point(20, 44)));

		assertThat(fit.slope()).isWithin(1e-9).of(2);
		assertThat(fit.intercept()).isWithin(1e-9).of(3);
		assertThat(fit.greatestDeviation()).isWithin(1e-9).of(2);
	}

	// Guards against a division by zero when all points have one size.
	@Test
	void singleSizeHasNoSlope() {
		Fit fit = Fit.of(List.of(new Point(5, 1), new Point(5, 3)));

		assertThat(fit.slope()).isEqualTo(0);
		assertThat(fit.intercept()).isEqualTo(2);
	}

}

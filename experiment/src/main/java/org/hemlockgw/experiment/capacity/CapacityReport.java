package org.hemlockgw.experiment.capacity;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Prints series and writes them as CSV.
 */
final class CapacityReport {

	private CapacityReport() {
	}

	static void print(PrintWriter print, Series series) {
		StringBuilder line = new StringBuilder();
		line.append(String.format(Locale.ROOT, "%-32s", series.name()));
		for (Point point : series.points()) {
			line.append(String.format(Locale.ROOT, " %.0f: %s", point.size(), number(point.value())));
		}
		Fit fit = series.fit();
		line.append(String.format(Locale.ROOT, " [%s by %s] slope %s intercept %s deviation %s", series.unit(),
				series.sizeUnit(), number(fit.slope()), number(fit.intercept()), number(fit.greatestDeviation())));
		print.println(line);
		print.flush();
	}

	static void csv(Path directory, List<Series> all) throws IOException {
		List<String> figures = new ArrayList<>(List.of("series,unit,size_unit,size,value"));
		List<String> fits = new ArrayList<>(List.of("series,unit,size_unit,slope,intercept,greatest_deviation"));
		for (Series series : all) {
			String head = series.name() + "," + series.unit() + "," + series.sizeUnit();
			for (Point point : series.points()) {
				figures.add(head + "," + point.size() + "," + point.value());
			}
			Fit fit = series.fit();
			fits.add(head + "," + fit.slope() + "," + fit.intercept() + "," + fit.greatestDeviation());
		}
		Files.createDirectories(directory);
		Files.write(directory.resolve("capacity-figures.csv"), figures);
		Files.write(directory.resolve("capacity-fits.csv"), fits);
	}

	private static String number(double value) {
		return String.format(Locale.ROOT, (Math.abs(value) < 100) ? "%.4g" : "%.0f", value);
	}

}

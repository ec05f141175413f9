package org.hemlockgw.experiment.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Draws program latency and wasted cache of the policies side by side as SVG.
 */
final class PolicyPlot {

	private static final int WIDTH_PX = 760;

	private static final int PANEL_HEIGHT_PX = 220;

	private static final int LABEL_WIDTH_PX = 150;

	private static final int BAR_WIDTH_PX = WIDTH_PX - LABEL_WIDTH_PX - 110;

	private PolicyPlot() {
	}

	static void write(Path file, List<Outcome> outcomes) throws IOException {
		StringBuilder svg = new StringBuilder();
		svg.append(String.format(Locale.ROOT,
				"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" "
						+ "font-size=\"12\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
				WIDTH_PX, 2 * PANEL_HEIGHT_PX));
		panel(svg, outcomes, 0, "program latency, p95, seconds", Outcome::p95Seconds);
		panel(svg, outcomes, PANEL_HEIGHT_PX, "prompt tokens computed again", (o) -> o.wastedTokens());
		svg.append("</svg>\n");
		Files.writeString(file, svg);
	}

	private static void panel(StringBuilder svg, List<Outcome> outcomes, int top, String title,
			ToDoubleFunction<Outcome> value) {
		double max = outcomes.stream().mapToDouble(value).max().orElse(1);
		svg.append(String.format(Locale.ROOT, "<text x=\"10\" y=\"%d\" font-weight=\"bold\">%s</text>%n", top + 24,
				title));
		int y = top + 40;
		for (Outcome outcome : outcomes) {
			double v = value.applyAsDouble(outcome);
			double width = (max > 0) ? v / max * BAR_WIDTH_PX : 0;
			svg.append(String.format(Locale.ROOT, "<text x=\"10\" y=\"%d\">%s</text>%n", y + 15, outcome.policy()));
			svg.append(String.format(Locale.ROOT,
					"<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"20\" fill=\"#4477aa\"/>%n", LABEL_WIDTH_PX, y,
					width));
			svg.append(String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%d\">%.4g</text>%n", LABEL_WIDTH_PX + width + 6,
					y + 15, v));
			y += 32;
		}
	}

}

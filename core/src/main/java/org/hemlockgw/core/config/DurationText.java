package org.hemlockgw.core.config;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Text form of durations: an integer followed by one of the units {@code ms}, {@code s},
 * {@code m}, {@code h} and {@code d}.
 */
public final class DurationText {

	// Limited to nine digits, so that the largest value in days fits into a Duration.
	private static final Pattern FORMAT = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");

	private DurationText() {
	}

	/**
	 * Parses a duration.
	 * @param text text form, for example {@code 30s}
	 * @return the duration, or empty if the text is malformed
	 */
	public static Optional<Duration> parse(String text) {
		Matcher m = FORMAT.matcher(text);
		if (!m.matches()) {
			return Optional.empty();
		}
		long n = Long.parseLong(m.group(1));
		return Optional.of(switch (m.group(2)) {
			case "ms" -> Duration.ofMillis(n);
			case "s" -> Duration.ofSeconds(n);
			case "m" -> Duration.ofMinutes(n);
			case "h" -> Duration.ofHours(n);
			default -> Duration.ofDays(n);
		});
	}

	/**
	 * Formats a duration in the largest unit that represents it as an integer.
	 * @param duration a duration of whole milliseconds
	 * @return the text form
	 */
	public static String format(Duration duration) {
		long ms = duration.toMillis();
		if (ms == 0 || ms % 1000 != 0) {
			return ms + "ms";
		}
		long s = ms / 1000;
		if (s % 86_400 == 0) {
			return s / 86_400 + "d";
		}
		if (s % 3600 == 0) {
			return s / 3600 + "h";
		}
		return (s % 60 == 0) ? s / 60 + "m" : s + "s";
	}

}

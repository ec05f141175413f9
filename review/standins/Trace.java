package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Writes record.txt: what was sent, answered and run, with the time since the start.
 */
final class Trace {

	private static final long START_NANOS = System.nanoTime();

	private static PrintWriter out;

	private Trace() {
	}

	static synchronized void open(String file) {
		try {
			out = new PrintWriter(file, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static long now() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	static synchronized void line(String event, Object... fields) {
		StringBuilder line = new StringBuilder(String.format("%8d %-12s", now(), event));
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
		}
		if (out != null) {
			out.println(line);
			out.flush();
		}
	}

	/** Writes a line to the record and to standard output. */
	static void say(String text) {
		line("note", "text", text);
		System.out.println(text);
	}

}

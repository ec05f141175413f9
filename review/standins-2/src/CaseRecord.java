import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class CaseRecord implements AutoCloseable {

	private final long began = System.nanoTime();

	private final PrintWriter out;

	CaseRecord(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	long elapsedMs() {
		return (System.nanoTime() - this.began) / 1_000_000;
	}

	synchronized void add(String line) {
		this.out.printf("%7.3f %s%n", elapsedMs() / 1000.0, line);
	}

	/** Adds a line to the file and to the standard output. */
	void report(String line) {
		add(line);
		System.out.println(line);
	}

	@Override
	public void close() {
		this.out.close();
	}

}

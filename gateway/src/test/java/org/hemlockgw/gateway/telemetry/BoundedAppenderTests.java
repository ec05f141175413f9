package org.hemlockgw.gateway.telemetry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import com.google.common.util.concurrent.Uninterruptibles;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link BoundedAppender}.
 */
@Timeout(20)
class BoundedAppenderTests {

	private static final int LINES_PER_SECOND = 50;

	/** Maximum time in milliseconds for which logging may delay the caller. */
	private static final long MAX_DELAY_MS = 5000;

	private final LoggerContext context = new LoggerContext();

	private final CountDownLatch outputReleased = new CountDownLatch(1);

	private final List<ILoggingEvent> written = Collections.synchronizedList(new ArrayList<>());

	private final BoundedAppender appender = new BoundedAppender();

	private void start(int queueSize) {
		AppenderBase<ILoggingEvent> output = new AppenderBase<>() {
			@Override
			protected void append(ILoggingEvent event) {
				Uninterruptibles.awaitUninterruptibly(BoundedAppenderTests.this.outputReleased);
				BoundedAppenderTests.this.written.add(event);
			}
		};
		this.context.setMDCAdapter(new LogbackMDCAdapter());
		output.setContext(this.context);
		output.start();
		this.appender.setContext(this.context);
		this.appender.setQueueSize(queueSize);
		this.appender.setLinesPerSecond(LINES_PER_SECOND);
		this.appender.addAppender(output);
		this.appender.start();
	}

	// Guards against a flood of lines that blocks the logging thread, and against lines
	// that are lost without being counted. The output blocks until all are logged.
	@ParameterizedTest
	@CsvSource({ "10, 1, 1000, 0, false", "60, 1, 1000, 10, false", "60, 3, 1000, 0, false", "60, 3, 20, 0, true" })
	void linesNotWrittenAreCounted(int lines, int kinds, int queueSize, int suppressed, boolean dropped)
			throws Exception {
		start(queueSize);
		long startNanos = System.nanoTime();
		for (int i = 0; i < lines; i++) {
			log("kind " + i % kinds, 1000);
		}
		assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS));
		this.outputReleased.countDown();
		while (this.appender.getNumberOfElementsInQueue() > 0) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		log("last", 2000);
		this.appender.stop();
		List<ILoggingEvent> reports = this.written.stream()
			.filter((event) -> event.getMessage().equals("log lines were suppressed or dropped"))
			.toList();
		int writtenLines = this.written.size() - reports.size() - 1;
		assertThat(reports).hasSize((suppressed > 0 || dropped) ? 1 : 0);
		int countedLines = 0;
		for (ILoggingEvent report : reports) {
			assertThat(value(report, LogFields.SUPPRESSED)).isEqualTo(suppressed);
			assertThat(value(report, LogFields.DROPPED) > 0).isEqualTo(dropped);
			countedLines += value(report, LogFields.SUPPRESSED) + value(report, LogFields.DROPPED);
		}
		assertThat(writtenLines + countedLines).isEqualTo(lines);
	}

	private static int value(ILoggingEvent event, String field) {
		return event.getKeyValuePairs()
			.stream()
			.filter((pair) -> pair.key.equals(field))
			.mapToInt((pair) -> (Integer) pair.value)
			.sum();
	}

	private void log(String message, long timestampMs) {
		LoggingEvent event = new LoggingEvent("test", this.context.getLogger("test"), Level.INFO, message, null, null);
		event.setTimeStamp(timestampMs);
		this.appender.doAppend(event);
	}

}

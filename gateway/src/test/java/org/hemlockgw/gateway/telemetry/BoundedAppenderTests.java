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

	/** Upper limit of the time that lines may take from the caller, in milliseconds. */
	private static final long LIMIT_MS = 5000;

	private final LoggerContext context = new LoggerContext();

	private final CountDownLatch open = new CountDownLatch(1);

	private final List<ILoggingEvent> written = Collections.synchronizedList(new ArrayList<>());

	private final BoundedAppender appender = new BoundedAppender();

	private void start(int queueSize) {
		AppenderBase<ILoggingEvent> output = new AppenderBase<>() {
			@Override
			protected void append(ILoggingEvent event) {
				Uninterruptibles.awaitUninterruptibly(BoundedAppenderTests.this.open);
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

	// Guards against a flood that blocks requests, and against lines that are missing
	// without a word. The output is stuck until all lines are logged.
	@ParameterizedTest
	@CsvSource({ "10, 1, 1000, 0, false", "60, 1, 1000, 10, false", "60, 3, 1000, 0, false", "60, 3, 20, 0, true" })
	void linesThatAreLeftOutAreCounted(int lines, int kinds, int queueSize, int folded, boolean dropped)
			throws Exception {
		start(queueSize);
		long begin = System.nanoTime();
		for (int i = 0; i < lines; i++) {
			log("kind " + i % kinds, 1000);
		}
		assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.MILLISECONDS.toNanos(LIMIT_MS));
		this.open.countDown();
		while (this.appender.getNumberOfElementsInQueue() > 0) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		log("last", 2000);
		this.appender.stop();
		List<ILoggingEvent> reports = this.written.stream()
			.filter((event) -> event.getMessage().equals("lines were left out"))
			.toList();
		int left = this.written.size() - reports.size() - 1;
		assertThat(reports).hasSize((folded > 0 || dropped) ? 1 : 0);
		int counted = 0;
		for (ILoggingEvent report : reports) {
			assertThat(value(report, LogFields.SUPPRESSED)).isEqualTo(folded);
			assertThat(value(report, LogFields.DROPPED) > 0).isEqualTo(dropped);
			counted += value(report, LogFields.SUPPRESSED) + value(report, LogFields.DROPPED);
		}
		assertThat(left + counted).isEqualTo(lines);
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

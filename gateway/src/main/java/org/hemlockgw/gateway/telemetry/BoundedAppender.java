package org.hemlockgw.gateway.telemetry;

import java.util.HashMap;
import java.util.Map;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import org.slf4j.event.KeyValuePair;

/**
 * Asynchronous appender that never blocks the logging thread. Lines with the same message
 * above a limit per second, and lines that find the queue full, are not written but
 * counted; the counts are logged together with the first line of the next second.
 */
public final class BoundedAppender extends AsyncAppender {

	/**
	 * Default limit of lines with the same message per second. At its target size a
	 * daemon has 17 requests per second.
	 */
	private static final int DEFAULT_LINES_PER_SECOND = 200;

	private static final long MS_PER_SECOND = 1000;

	private final Map<String, Integer> linesByMessage = new HashMap<>();

	private int linesPerSecond = DEFAULT_LINES_PER_SECOND;

	private long currentSecond;

	private int suppressed;

	private int dropped;

	public BoundedAppender() {
		setNeverBlock(true);
		// The default discards lines uncounted before the queue is full.
		setDiscardingThreshold(0);
	}

	/**
	 * Sets the maximum number of lines with the same message that are written per second.
	 * @param lines number of lines, at least 1
	 */
	public void setLinesPerSecond(int lines) {
		if (lines < 1) {
			throw new IllegalArgumentException("linesPerSecond must be at least 1, was " + lines);
		}
		this.linesPerSecond = lines;
	}

	@Override
	protected synchronized void append(ILoggingEvent event) {
		long eventSecond = event.getTimeStamp() / MS_PER_SECOND;
		if (eventSecond != this.currentSecond) {
			reportLosses();
			this.currentSecond = eventSecond;
			this.linesByMessage.clear();
		}
		if (this.linesByMessage.merge(event.getMessage(), 1, Integer::sum) > this.linesPerSecond) {
			this.suppressed++;
			return;
		}
		enqueue(event);
	}

	private void enqueue(ILoggingEvent event) {
		if (getRemainingCapacity() == 0) {
			this.dropped++;
			return;
		}
		super.append(event);
	}

	private void reportLosses() {
		if ((this.suppressed == 0 && this.dropped == 0) || getRemainingCapacity() == 0) {
			return;
		}
		Logger logger = ((LoggerContext) getContext()).getLogger(BoundedAppender.class);
		LoggingEvent event = new LoggingEvent(BoundedAppender.class.getName(), logger, Level.WARN,
				"log lines were suppressed or dropped", null, null);
		event.addKeyValuePair(new KeyValuePair(LogFields.SUPPRESSED, this.suppressed));
		event.addKeyValuePair(new KeyValuePair(LogFields.DROPPED, this.dropped));
		this.suppressed = 0;
		this.dropped = 0;
		super.append(event);
	}

}

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
 * Queue that never blocks whoever logs. Lines of one kind beyond a number in a second,
 * and lines that find the queue full, are counted; the counts are written when the next
 * second has its first line.
 */
public final class BoundedAppender extends AsyncAppender {

	/**
	 * Lines of one kind in a second unless the configuration says otherwise. At its
	 * target size a daemon has 17 requests a second.
	 */
	private static final int DEFAULT_LINES_PER_SECOND = 200;

	private static final long MS_PER_SECOND = 1000;

	private final Map<String, Integer> written = new HashMap<>();

	private int linesPerSecond = DEFAULT_LINES_PER_SECOND;

	private long second;

	private int folded;

	private int dropped;

	public BoundedAppender() {
		setNeverBlock(true);
		// The queue itself would drop lines uncounted before it is full.
		setDiscardingThreshold(0);
	}

	/**
	 * Sets how many lines of one kind are written in a second.
	 * @param lines number of lines
	 */
	public void setLinesPerSecond(int lines) {
		if (lines < 1) {
			throw new IllegalArgumentException("linesPerSecond must be at least 1, was " + lines);
		}
		this.linesPerSecond = lines;
	}

	@Override
	protected synchronized void append(ILoggingEvent event) {
		long now = event.getTimeStamp() / MS_PER_SECOND;
		if (now != this.second) {
			report();
			this.second = now;
			this.written.clear();
		}
		if (this.written.merge(event.getMessage(), 1, Integer::sum) > this.linesPerSecond) {
			this.folded++;
			return;
		}
		put(event);
	}

	private void put(ILoggingEvent event) {
		if (getRemainingCapacity() == 0) {
			this.dropped++;
			return;
		}
		super.append(event);
	}

	private void report() {
		if ((this.folded == 0 && this.dropped == 0) || getRemainingCapacity() == 0) {
			return;
		}
		Logger logger = ((LoggerContext) getContext()).getLogger(BoundedAppender.class);
		LoggingEvent event = new LoggingEvent(BoundedAppender.class.getName(), logger, Level.WARN,
				"lines were left out", null, null);
		event.addKeyValuePair(new KeyValuePair(LogFields.SUPPRESSED, this.folded));
		event.addKeyValuePair(new KeyValuePair(LogFields.DROPPED, this.dropped));
		this.folded = 0;
		this.dropped = 0;
		super.append(event);
	}

}

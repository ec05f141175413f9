package org.hemlockgw.gateway.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Log lines and metrics of one request: a line for each decision, and one for its end.
 */
final class RequestLog {

	private static final Logger logger = LoggerFactory.getLogger(RequestLog.class);

	private final CallerRequest call;

	private final Metrics metrics;

	private final LongSupplier nanoClock;

	private Deadline time;

	private String route = "";

	private long configuration;

	private String pool = "";

	private @Nullable String server;

	private int sends;

	private long waitingSinceNanos;

	private long waitMs;

	RequestLog(CallerRequest call, Metrics metrics, LongSupplier nanoClock, Deadline time) {
		this.call = call;
		this.metrics = metrics;
		this.nanoClock = nanoClock;
		this.time = time;
	}

	void routed(String name, long version, String target, Deadline limit) {
		this.route = name;
		this.configuration = version;
		this.pool = target;
		this.time = limit;
	}

	void slotRequested() {
		this.waitingSinceNanos = this.nanoClock.getAsLong();
	}

	void slotAnswered() {
		this.waitMs = TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - this.waitingSinceNanos);
		this.metrics.record("slot_wait_ms", this.waitMs);
	}

	void sent(String target, int count) {
		this.server = target;
		this.sends = count;
	}

	void answered(int status, int events) {
		ended("answered", status);
		if (this.server != null) {
			this.metrics.increment(Metrics.withLabel("server_answers", "server", this.server));
		}
		LoggingEventBuilder line = end().addKeyValue(LogFields.STATUS, status);
		if (events > 0) {
			line = line.addKeyValue(LogFields.EVENTS, events);
		}
		line.log("answered");
	}

	void refused(int status, long retryAfterMs, String reason) {
		ended("refused", status);
		end().addKeyValue(LogFields.STATUS, status)
			.addKeyValue(LogFields.RETRY_AFTER_MS, retryAfterMs)
			.addKeyValue(LogFields.REASON, reason)
			.log("refused");
	}

	void aborted(String reason) {
		ended("broken_off", 0);
		end().addKeyValue(LogFields.REASON, reason).log("answer is broken off");
	}

	void callerDisconnected() {
		ended("caller_left", 0);
		end().log("caller has left");
	}

	void timedOut(boolean headSent, boolean answerWhole) {
		line().addKeyValue(LogFields.LIMIT_MS, this.time.limitMs())
			.addKeyValue(LogFields.WAIT_MS, this.waitMs)
			.addKeyValue(LogFields.SEND_COUNT, this.sends)
			.addKeyValue(LogFields.HEAD_SENT, headSent)
			.addKeyValue(LogFields.RESPONSE_COMPLETE, answerWhole)
			.log("out of time");
	}

	void serverFailed(String target, boolean sent, int count, String cause) {
		this.sends = count;
		this.metrics.increment(Metrics.withLabel(sent ? "server_failures" : "connect_failures", "server", target));
		line().addKeyValue(LogFields.SERVER, target)
			.addKeyValue(LogFields.SENT, sent)
			.addKeyValue(LogFields.SEND_COUNT, this.sends)
			.addKeyValue(LogFields.REASON, cause)
			.log("server failed");
	}

	void rejected(String target, int status) {
		this.metrics.increment(Metrics.withLabel("server_rejections", "server", target));
		line().addKeyValue(LogFields.SERVER, target).addKeyValue(LogFields.STATUS, status).log("server did not run it");
	}

	void mismatchedResponse(String other) {
		line().addKeyValue(LogFields.REASON, "answer to " + other).log("skipping a foreign answer");
	}

	private void ended(String outcome, int status) {
		this.metrics.increment(Metrics.withLabel(outcome, "route", this.route));
		this.metrics.record("request_ms_" + outcome + ((status > 0) ? "_" + status : ""), this.time.elapsedMs());
	}

	private LoggingEventBuilder line() {
		return logger.atInfo().addKeyValue(LogFields.REQUEST, this.call.id());
	}

	private LoggingEventBuilder end() {
		LoggingEventBuilder line = line().addKeyValue(LogFields.ELAPSED_MS, this.time.elapsedMs())
			.addKeyValue(LogFields.ROUTE, this.route)
			.addKeyValue(LogFields.CONFIGURATION, this.configuration);
		if (this.call.program() != null) {
			line = line.addKeyValue(LogFields.PROGRAM, this.call.program());
		}
		if (this.server != null) {
			line = line.addKeyValue(LogFields.POOL, this.pool)
				.addKeyValue(LogFields.SERVER, this.server)
				.addKeyValue(LogFields.SEND_COUNT, this.sends)
				.addKeyValue(LogFields.WAIT_MS, this.waitMs);
		}
		return line;
	}

}

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
 * Writes the log lines and metrics of one request: a line for each decision and one for
 * the end of the request.
 */
final class RequestLog {

	private static final Logger logger = LoggerFactory.getLogger(RequestLog.class);

	private final CallerRequest callerRequest;

	private final Metrics metrics;

	private final LongSupplier nanoClock;

	private Deadline deadline;

	private String route = "";

	private long configurationVersion;

	private String pool = "";

	private @Nullable String server;

	private int sendCount;

	private long slotRequestedNanos;

	private long slotWaitMs;

	private boolean turnAnswered;

	private long turnAnsweredNanos;

	RequestLog(CallerRequest callerRequest, Metrics metrics, LongSupplier nanoClock, Deadline deadline) {
		this.callerRequest = callerRequest;
		this.metrics = metrics;
		this.nanoClock = nanoClock;
		this.deadline = deadline;
	}

	void routed(String routeName, long routesVersion, String poolName, Deadline newDeadline) {
		this.route = routeName;
		this.configurationVersion = routesVersion;
		this.pool = poolName;
		this.deadline = newDeadline;
	}

	void slotRequested() {
		this.slotRequestedNanos = this.nanoClock.getAsLong();
	}

	void slotAnswered() {
		this.slotWaitMs = TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - this.slotRequestedNanos);
		this.metrics.record("slot_wait_ms", this.slotWaitMs);
	}

	void sent(String serverId, int newSendCount) {
		this.server = serverId;
		this.sendCount = newSendCount;
	}

	/**
	 * Notes that the complete response to a turn was received. Its end waits only for the
	 * store from now on.
	 */
	void turnAnswered() {
		this.turnAnswered = true;
		this.turnAnsweredNanos = this.nanoClock.getAsLong();
	}

	void answered(int status, int events) {
		recordOutcome("answered", status);
		if (this.server != null) {
			this.metrics.increment(Metrics.withLabel("server_answers", "server", this.server));
		}
		LoggingEventBuilder line = newEndLine().addKeyValue(LogFields.STATUS, status);
		if (events > 0) {
			line = line.addKeyValue(LogFields.EVENTS, events);
		}
		line.log("answered");
	}

	void refused(int status, long retryAfterMs, String reason) {
		recordOutcome("refused", status);
		newEndLine().addKeyValue(LogFields.STATUS, status)
			.addKeyValue(LogFields.RETRY_AFTER_MS, retryAfterMs)
			.addKeyValue(LogFields.REASON, reason)
			.log("refused");
	}

	void aborted(String reason) {
		recordOutcome("broken_off", 0);
		newEndLine().addKeyValue(LogFields.REASON, reason).log("response aborted");
	}

	void callerDisconnected() {
		recordOutcome("caller_left", 0);
		newEndLine().log("caller disconnected");
	}

	void timedOut(boolean headSent, boolean responseComplete) {
		newLine().addKeyValue(LogFields.LIMIT_MS, this.deadline.limitMs())
			.addKeyValue(LogFields.WAIT_MS, this.slotWaitMs)
			.addKeyValue(LogFields.SEND_COUNT, this.sendCount)
			.addKeyValue(LogFields.HEAD_SENT, headSent)
			.addKeyValue(LogFields.RESPONSE_COMPLETE, responseComplete)
			.log("out of time");
	}

	void serverFailed(String serverId, boolean sent, int newSendCount, String cause) {
		this.sendCount = newSendCount;
		this.metrics.increment(Metrics.withLabel(sent ? "server_failures" : "connect_failures", "server", serverId));
		newLine().addKeyValue(LogFields.SERVER, serverId)
			.addKeyValue(LogFields.SENT, sent)
			.addKeyValue(LogFields.SEND_COUNT, this.sendCount)
			.addKeyValue(LogFields.REASON, cause)
			.log("server failed");
	}

	void rejected(String serverId, int status) {
		this.metrics.increment(Metrics.withLabel("server_rejections", "server", serverId));
		newLine().addKeyValue(LogFields.SERVER, serverId)
			.addKeyValue(LogFields.STATUS, status)
			.log("server did not run the request");
	}

	void grantRejected(String serverId) {
		this.metrics.increment(Metrics.withLabel("grants_rejected", "server", serverId));
		newLine().addKeyValue(LogFields.SERVER, serverId)
			.addKeyValue(LogFields.REASON, "server is draining or was removed")
			.log("grant of a slot rejected");
	}

	void mismatchedResponse(String otherRequest) {
		newLine().addKeyValue(LogFields.REASON, "response to " + otherRequest)
			.log("skipping the response to another request");
	}

	private void recordOutcome(String outcome, int status) {
		this.metrics.increment(Metrics.withLabel(outcome, "route", this.route));
		this.metrics.record("request_ms_" + outcome + ((status > 0) ? "_" + status : ""), this.deadline.elapsedMs());
		if (this.turnAnswered) {
			this.metrics.record("turn_end_store_wait_ms", storeWaitMs());
		}
	}

	private long storeWaitMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - this.turnAnsweredNanos);
	}

	private LoggingEventBuilder newLine() {
		return logger.atInfo().addKeyValue(LogFields.REQUEST, this.callerRequest.id());
	}

	private LoggingEventBuilder newEndLine() {
		LoggingEventBuilder line = newLine().addKeyValue(LogFields.ELAPSED_MS, this.deadline.elapsedMs())
			.addKeyValue(LogFields.ROUTE, this.route)
			.addKeyValue(LogFields.CONFIGURATION, this.configurationVersion);
		if (this.callerRequest.program() != null) {
			line = line.addKeyValue(LogFields.PROGRAM, this.callerRequest.program());
		}
		if (this.server != null) {
			line = line.addKeyValue(LogFields.POOL, this.pool)
				.addKeyValue(LogFields.SERVER, this.server)
				.addKeyValue(LogFields.SEND_COUNT, this.sendCount)
				.addKeyValue(LogFields.WAIT_MS, this.slotWaitMs);
		}
		if (this.turnAnswered) {
			line = line.addKeyValue(LogFields.STORE_WAIT_MS, storeWaitMs());
		}
		return line;
	}

}

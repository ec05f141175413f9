package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.control.ControlStreamWriter;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.dispatch.EngineChooser;
import org.hemlockgw.core.explain.RequestEventRecorder;
import org.hemlockgw.core.ledger.Ledger;
import org.hemlockgw.core.platform.PlainServiceClient;
import org.hemlockgw.core.retry.CrashHistory;
import org.hemlockgw.core.retry.RetryBudget;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * What the jobs of the owner share.
 */
record OwnerContext(Ledger ledger, Dispatcher dispatcher, EngineChooser chooser,
		Function<String, @Nullable PlainServiceClient> services, Blackboard blackboard, ControlStreamWriter control,
		RequestEventRecorder journal, Tracing tracing, ScheduledExecutorService scheduler, Executor executor,
		InstantSource clock, MetricRegistry metrics, RetryBudget retries, CrashHistory suspects,
		Durability durability) {

	Instant now() {
		return this.clock.instant();
	}

	Configuration configuration() {
		return this.blackboard.configuration().get();
	}

	// Runs a task on the executor after a delay.
	void after(Duration delay, Runnable task) {
		if (delay.isZero() || delay.isNegative()) {
			this.executor.execute(task);
			return;
		}
		this.scheduler.schedule(() -> this.executor.execute(task), delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	void note(LiveCall call, String event, String reason) {
		this.journal.record(call.request().program(), call.request().requestId(), "owner", event, reason);
	}

	void count(String name) {
		this.metrics.counter("owner." + name).inc();
	}

}

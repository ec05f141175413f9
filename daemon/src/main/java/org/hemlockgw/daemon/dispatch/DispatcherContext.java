package org.hemlockgw.daemon.dispatch;

import java.time.InstantSource;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.explain.RequestEventRecorder;
import org.hemlockgw.core.platform.EngineClient;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * What the parts of the dispatcher share.
 *
 * @param blackboard shared state of the daemon
 * @param clients client of an engine, cached by the caller
 * @param journal receives events for explanations
 * @param tracing starts spans
 * @param scheduler runs timers; its tasks must be short
 * @param executor runs work that may block
 * @param clock the clock
 * @param metrics metrics of the daemon
 */
public record DispatcherContext(Blackboard blackboard, Function<BackendServer, EngineClient> clients,
		RequestEventRecorder journal, Tracing tracing, ScheduledExecutorService scheduler, Executor executor,
		InstantSource clock, MetricRegistry metrics) {
}

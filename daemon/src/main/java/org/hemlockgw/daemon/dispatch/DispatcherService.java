package org.hemlockgw.daemon.dispatch;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.membership.BackendAvailability;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * Dispatches model turns to the engines that this daemon is assigned, or sends directly
 * to others.
 */
public final class DispatcherService implements Dispatcher {

	private static final long LOAD_INTERVAL_MS = 1_000;

	private final DispatcherContext context;

	private final CacheReleaser releaser;

	private final Map<String, EngineLane> lanes = new ConcurrentHashMap<>();

	public DispatcherService(DispatcherContext context, CacheReleaser releaser) {
		this.context = context;
		this.releaser = releaser;
	}

	/**
	 * Starts to follow configuration and VM list and to publish loads.
	 */
	public void start() {
		this.context.blackboard().configuration().addListener((configuration) -> handBackLeaving());
		this.context.blackboard().vms().addListener((vms) -> handBackLeaving());
		this.context.scheduler()
			.scheduleWithFixedDelay(this::publishLoads, LOAD_INTERVAL_MS, LOAD_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink) {
		BackendServer server = this.context.blackboard().configuration().get().backendServers().get(request.engine());
		if (server == null) {
			return CompletableFuture.failedFuture(
					CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, "no backend server " + request.engine()));
		}
		Span span = this.context.tracing().start("dispatcher", request.traceparent());
		span.setAttribute("engine", request.engine());
		DispatchRequest traced = withTraceparent(request, Tracing.traceparent(span));
		return lane(server).submit(traced, sink).whenComplete((result, thrown) -> span.end());
	}

	@Override
	public void cancel(String engine, String attemptId) {
		EngineLane lane = this.lanes.get(engine);
		if (lane != null) {
			lane.cancel(attemptId);
		}
	}

	@Override
	public void releaseSession(String engine, ProgramId program) {
		this.releaser.release(engine, program);
	}

	/**
	 * Tells whether no request is queued or in flight on any engine.
	 * @return whether the dispatcher is idle
	 */
	public boolean isIdle() {
		return this.lanes.values().stream().allMatch(EngineLane::isIdle);
	}

	@Nullable EngineLane laneIfPresent(String engine) {
		return this.lanes.get(engine);
	}

	private EngineLane lane(BackendServer server) {
		return this.lanes.computeIfAbsent(server.name(), (name) -> new EngineLane(server, this.context));
	}

	private void handBackLeaving() {
		Configuration configuration = this.context.blackboard().configuration().get();
		this.lanes.forEach((engine, lane) -> {
			BackendServer server = configuration.backendServers().get(engine);
			if (server == null || !BackendAvailability.acceptsWork(server, this.context.blackboard().vms().get())) {
				lane.handBack();
			}
		});
	}

	private void publishLoads() {
		this.lanes.values()
			.forEach((lane) -> this.context.blackboard()
				.engineLoads()
				.update((loads) -> EngineLane.withLoad(loads, lane.load())));
	}

	private static DispatchRequest withTraceparent(DispatchRequest r, String traceparent) {
		return new DispatchRequest(r.program(), r.attemptId(), r.engine(), r.model(), r.messages(), r.partialAnswer(),
				r.firstOffset(), r.maxTokens(), r.attainedTokens(), r.estimatedPromptTokens(),
				r.estimatedCachedTokens(), r.suspect(), r.deadline(), traceparent);
	}

}

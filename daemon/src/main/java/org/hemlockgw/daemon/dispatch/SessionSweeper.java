package org.hemlockgw.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.config.BackendKind;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;

/**
 * Finds cache sessions of ended programs on the engines assigned to this daemon. It
 * covers an owner that died between the end of a program and the release.
 */
public final class SessionSweeper {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final DispatcherContext context;

	private final DispatcherService dispatcher;

	private final ProgramService programs;

	private final String vm;

	private final Duration interval;

	/**
	 * Creates a sweeper.
	 * @param context what the parts of the dispatcher share
	 * @param dispatcher the dispatcher of this daemon
	 * @param programs asks the owner of any program
	 * @param vm name of this daemon's VM
	 * @param interval time between two sweeps; sessions used more recently are skipped
	 */
	public SessionSweeper(DispatcherContext context, DispatcherService dispatcher, ProgramService programs, String vm,
			Duration interval) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.programs = programs;
		this.vm = vm;
		this.interval = interval;
	}

	public void start() {
		long ms = this.interval.toMillis();
		this.context.scheduler()
			.scheduleWithFixedDelay(() -> this.context.executor().execute(this::sweep), ms, ms, TimeUnit.MILLISECONDS);
	}

	void sweep() {
		for (BackendServer server : this.context.blackboard().configuration().get().backendServers().values()) {
			if (server.kind() == BackendKind.ENGINE && isOwn(server)) {
				this.context.clients()
					.apply(server)
					.listSessions()
					.thenAccept((sessions) -> check(server.name(), sessions));
			}
		}
	}

	private boolean isOwn(BackendServer server) {
		Incarnation holder = this.context.blackboard().control().get().engineOwnership(server.name()).incarnation();
		return holder != null && holder.vm().equals(this.vm);
	}

	private void check(String engine, List<String> sessions) {
		EngineLane lane = this.dispatcher.laneIfPresent(engine);
		for (String session : sessions) {
			ProgramId program = parse(session);
			if (program == null || lane != null && lane.usedWithin(session, this.interval)) {
				continue;
			}
			this.programs.get(program).handle(SessionSweeper::hasEnded).thenAccept((ended) -> {
				if (ended) {
					logger.atInfo().log("releasing session %s of an ended program on %s", session, engine);
					this.dispatcher.releaseSession(engine, program);
				}
			});
		}
	}

	private static boolean hasEnded(@Nullable ProgramView view, @Nullable Throwable thrown) {
		if (view != null) {
			return view.state() != ProgramState.RUNNING;
		}
		// Only the owner itself answers NOT_FOUND; an unreachable owner proves nothing.
		return thrown != null && CallFailure.of(thrown).code() == ErrorCode.NOT_FOUND;
	}

	private static @Nullable ProgramId parse(String session) {
		int slash = session.indexOf('/');
		if (slash < 0) {
			return null;
		}
		try {
			return new ProgramId(session.substring(0, slash), session.substring(slash + 1));
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

}

package org.hemlockgw.experiment.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.schedule.EngineSpeed;
import org.hemlockgw.core.schedule.FairQueue;
import org.hemlockgw.core.schedule.InFlightLimit;
import org.hemlockgw.core.schedule.QueuedRequest;
import org.hemlockgw.standins.engine.EngineJob;
import org.hemlockgw.standins.engine.EngineModel;
import org.hemlockgw.standins.engine.EngineOptions;
import org.hemlockgw.standins.engine.EngineProgress;

/**
 * One engine's model with the queue in front of it.
 */
final class SimEngine {

	private static final int EXPECTED_ANSWER_TOKENS = 128;

	final String name;

	final EngineModel model;

	private final EngineOptions options;

	private final @Nullable FairQueue<ProgramRun> fair;

	private final Deque<ProgramRun> fifo = new ArrayDeque<>();

	private final Map<String, ProgramRun> running = new HashMap<>();

	private EngineSpeed speed = EngineSpeed.INITIAL;

	private InFlightLimit limit;

	private final @Nullable SessionRanking ranking;

	private final Map<String, SessionRanking.IdleSession> idle = new HashMap<>();

	private boolean leaving;

	SimEngine(String name, EngineOptions options, boolean fairQueue, @Nullable SessionRanking ranking) {
		this.ranking = ranking;
		this.name = name;
		this.options = options;
		this.model = new EngineModel(options);
		this.fair = fairQueue ? new FairQueue<>((account) -> 1) : null;
		this.limit = InFlightLimit.initial(options.maxBatch());
	}

	void submit(ProgramRun run, long nowNs) {
		if (this.fair == null) {
			this.fifo.add(run);
		}
		else {
			long work = uncached(run) + Math.min(EXPECTED_ANSWER_TOKENS, run.current().answerTokens());
			this.fair.add(
					new QueuedRequest<>(run.spec.id().account(), run.attainedTokens, work, instant(nowNs), false, run));
		}
		pump(nowNs);
	}

	/**
	 * Runs the engine up to a time.
	 * @param nowNs the time
	 * @return tokens generated
	 */
	List<EngineProgress> advance(long nowNs) {
		return this.model.advance(nowNs);
	}

	ProgramRun run(String jobId) {
		ProgramRun run = this.running.get(jobId);
		if (run == null) {
			throw new IllegalStateException("unknown job " + jobId);
		}
		return run;
	}

	void finished(ProgramRun run, long cachedTokens, long nowNs) {
		int inFlight = this.running.size();
		String session = run.spec.id().sessionName();
		this.running.remove(session);
		this.idle.put(session,
				new SessionRanking.IdleSession(session, run.promptTokens(), run.turn + 1, instant(nowNs)));
		long generated = run.current().answerTokens() - 1L;
		Duration decoding = Duration.ofNanos(nowNs - run.firstTokenNs);
		this.speed = this.speed.observe(run.promptTokens() - cachedTokens,
				Duration.ofNanos(run.firstTokenNs - run.sentNs), generated, decoding, inFlight);
		if (generated > 0) {
			this.limit = this.limit.observe(decoding.dividedBy(generated), inFlight);
		}
		pump(nowNs);
	}

	/**
	 * Stops taking work.
	 * @return the queued programs, to be sent elsewhere
	 */
	List<ProgramRun> leave() {
		this.leaving = true;
		List<ProgramRun> queued = new ArrayList<>(this.fifo);
		this.fifo.clear();
		if (this.fair != null) {
			this.fair.removeIf((request) -> true).forEach((request) -> queued.add(request.payload()));
		}
		return queued;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	int outstanding() {
		return this.running.size() + queued();
	}

	EngineLoad load(long nowNs) {
		return new EngineLoad(this.name, queued(), this.running.size(), this.limit.limit(),
				(this.fair != null) ? this.fair.tokens() : 0, this.speed.prefillTokensPerSecond(),
				this.speed.decodeTokensPerSecond(), instant(nowNs));
	}

	private int queued() {
		return (this.fair != null) ? this.fair.size() : this.fifo.size();
	}

	private void pump(long nowNs) {
		int most = (this.fair != null) ? this.limit.limit() : Integer.MAX_VALUE;
		while (this.running.size() < most) {
			ProgramRun next = next();
			if (next == null) {
				return;
			}
			next.sentNs = nowNs;
			String session = next.spec.id().sessionName();
			this.idle.remove(session);
			makeRoom(next.promptTokens() + next.current().answerTokens(), nowNs);
			this.running.put(session, next);
			this.model.submit(new EngineJob(session, session, next.promptTokens(), 0, next.current().answerTokens()),
					nowNs);
		}
	}

	// Drops idle sessions by rank, before the engine would evict by its own order.
	private void makeRoom(long tokens, long nowNs) {
		if (this.ranking == null) {
			return;
		}
		SessionRanking order = this.ranking;
		while (!this.idle.isEmpty() && this.model.stats(nowNs).heldTokens() + tokens > this.options.cacheTokens()) {
			SessionRanking.IdleSession least = Collections.min(this.idle.values(),
					Comparator.comparingDouble((session) -> order.rank(session, instant(nowNs))));
			this.idle.remove(least.name());
			this.model.release(least.name(), nowNs);
		}
	}

	/**
	 * Releases the cache of an ended program.
	 * @param session its session
	 * @param nowNs the time
	 */
	void release(String session, long nowNs) {
		this.idle.remove(session);
		this.model.release(session, nowNs);
	}

	private @Nullable ProgramRun next() {
		if (this.fair == null) {
			return this.fifo.poll();
		}
		QueuedRequest<ProgramRun> request = this.fair.poll((candidate) -> true);
		return (request != null) ? request.payload() : null;
	}

	private long uncached(ProgramRun run) {
		return Math.max(1, run.promptTokens() - run.lastHeldTokens);
	}

	EngineOptions options() {
		return this.options;
	}

	static Instant instant(long nowNs) {
		return Instant.EPOCH.plusNanos(nowNs);
	}

}

package org.hemlockgw.experiment.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.HdrHistogram.Histogram;

import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.schedule.CompletionEstimate;
import org.hemlockgw.core.schedule.ProgramAdmission;
import org.hemlockgw.standins.engine.EngineProgress;

/**
 * Runs one workload under one policy in virtual time. There is no network and no daemon
 * here, only the decision classes and the engines' models.
 */
final class PolicyRun {

	private static final long MAX_LATENCY_US = 36_000_000_000L;

	private final PolicyKind policy;

	private final Scenario scenario;

	private final List<SimEngine> engines = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Histogram programs = new Histogram(MAX_LATENCY_US, 3);

	private final Map<String, Histogram> byAccount = new HashMap<>();

	private final Histogram firstToken = new Histogram(MAX_LATENCY_US, 3);

	private final Histogram tokenInterval = new Histogram(MAX_LATENCY_US, 3);

	private final double[] busyNs;

	private final Map<ProgramRun, Long> callStart = new HashMap<>();

	private long nowNs;

	private long wastedTokens;

	private int scheduled;

	private int offered;

	private int finished;

	private int shed;

	private long lastFinishNs;

	private int nextEngine;

	PolicyRun(PolicyKind policy, Scenario scenario) {
		this.policy = policy;
		this.scenario = scenario;
		for (int i = 0; i < scenario.engines().size(); i++) {
			this.engines
				.add(new SimEngine("engine" + i, scenario.engines().get(i), policy.programAware(), scenario.ranking()));
		}
		this.busyNs = new double[this.engines.size()];
	}

	Outcome run() {
		for (ProgramSpec spec : this.scenario.programs()) {
			at(spec.arrivalNs(), () -> arrive(spec));
		}
		at(this.scenario.slowdownNs(), () -> this.engines.get(1).model.setSpeedFactor(0.5));
		at(this.scenario.leaveNs(), () -> leave(this.engines.get(2)));
		while (true) {
			long next = nextTime();
			if (next == Long.MAX_VALUE) {
				return outcome();
			}
			step(next);
		}
	}

	private long nextTime() {
		Event event = this.events.peek();
		long next = (event != null) ? event.atNs : Long.MAX_VALUE;
		for (SimEngine engine : this.engines) {
			OptionalLong ends = engine.model.nextNs();
			next = Math.min(next, ends.orElse(Long.MAX_VALUE));
		}
		return next;
	}

	private void step(long next) {
		for (int i = 0; i < this.engines.size(); i++) {
			if (this.engines.get(i).model.nextNs().isPresent()) {
				this.busyNs[i] += next - this.nowNs;
			}
		}
		this.nowNs = next;
		for (int i = 0; i < this.engines.size(); i++) {
			for (EngineProgress progress : this.engines.get(i).advance(next)) {
				token(i, progress);
			}
		}
		while (!this.events.isEmpty() && this.events.peek().atNs <= next) {
			this.events.poll().action.run();
		}
	}

	private void arrive(ProgramSpec spec) {
		this.offered++;
		if (this.policy.programAware() && ProgramAdmission.retryAfter(loads()).isPresent()) {
			this.shed++;
			return;
		}
		call(new ProgramRun(spec, null, this.nowNs));
	}

	private void call(ProgramRun run) {
		int chosen = choose(run);
		long held = (chosen == run.lastEngine) ? run.lastHeldTokens : 0;
		run.lastEngine = chosen;
		run.lastHeldTokens = held;
		run.firstTokenNs = 0;
		this.callStart.put(run, this.nowNs);
		this.engines.get(chosen).submit(run, this.nowNs);
	}

	private int choose(ProgramRun run) {
		return switch (this.policy.choice()) {
			case ROUND_ROBIN -> roundRobin();
			case LEAST_LOADED -> leastLoaded();
			case AFFINITY ->
				(run.lastEngine >= 0 && !this.engines.get(run.lastEngine).isLeaving()) ? run.lastEngine : roundRobin();
			case ESTIMATE -> lowestEstimate(run);
		};
	}

	private int roundRobin() {
		do {
			this.nextEngine = (this.nextEngine + 1) % this.engines.size();
		}
		while (this.engines.get(this.nextEngine).isLeaving());
		return this.nextEngine;
	}

	private int leastLoaded() {
		int best = -1;
		for (int i = 0; i < this.engines.size(); i++) {
			SimEngine engine = this.engines.get(i);
			if (!engine.isLeaving() && (best < 0 || engine.outstanding() < this.engines.get(best).outstanding())) {
				best = i;
			}
		}
		return best;
	}

	private int lowestEstimate(ProgramRun run) {
		int best = -1;
		double bestCost = Double.POSITIVE_INFINITY;
		for (int i = 0; i < this.engines.size(); i++) {
			SimEngine engine = this.engines.get(i);
			if (engine.isLeaving()) {
				continue;
			}
			long cached = (i == run.lastEngine) ? run.lastHeldTokens : 0;
			double cost = CompletionEstimate.costSeconds(this.policy.policy(), engine.load(this.nowNs), 0,
					run.promptTokens(), cached, run.lastHeldTokens);
			if (cost < bestCost) {
				best = i;
				bestCost = cost;
			}
		}
		return best;
	}

	private void token(int index, EngineProgress progress) {
		SimEngine engine = this.engines.get(index);
		ProgramRun run = engine.run(progress.jobId());
		if (progress.index() == 0) {
			run.firstTokenNs = progress.atNs();
			long asked = this.callStart.getOrDefault(run, run.sentNs);
			this.firstToken.recordValue(micros(progress.atNs() - asked));
			long known = Math.min(run.highestHeldTokens, run.promptTokens() - 1);
			this.wastedTokens += Math.max(0, known - progress.cachedTokens());
		}
		if (progress.last()) {
			answered(engine, run, progress);
		}
	}

	private void answered(SimEngine engine, ProgramRun run, EngineProgress progress) {
		ProgramSpec.Turn turn = run.current();
		engine.finished(run, progress.cachedTokens(), progress.atNs());
		if (turn.answerTokens() > 1) {
			this.tokenInterval.recordValue(micros((progress.atNs() - run.firstTokenNs) / (turn.answerTokens() - 1)));
		}
		run.attainedTokens += run.promptTokens() - progress.cachedTokens() + turn.answerTokens();
		run.historyTokens = run.promptTokens() + turn.answerTokens();
		run.lastHeldTokens = run.historyTokens;
		run.highestHeldTokens = Math.max(run.highestHeldTokens, run.historyTokens);
		this.callStart.remove(run);
		run.turn++;
		if (run.turn == run.spec.turns().size()) {
			end(run);
			return;
		}
		run.paused = true;
		run.openChildren = turn.children().size();
		turn.children().forEach((child) -> call(new ProgramRun(child, run, this.nowNs)));
		at(this.nowNs + turn.pauseNs(), () -> {
			run.paused = false;
			resumeIfReady(run);
		});
	}

	private void resumeIfReady(ProgramRun run) {
		if (!run.paused && run.openChildren == 0) {
			call(run);
		}
	}

	private void end(ProgramRun run) {
		releaseCache(run);
		if (run.parent != null) {
			run.parent.openChildren--;
			resumeIfReady(run.parent);
			return;
		}
		this.finished++;
		this.lastFinishNs = this.nowNs;
		long latency = micros(this.nowNs - run.startNs);
		this.programs.recordValue(latency);
		this.byAccount.computeIfAbsent(run.spec.id().account(), (account) -> new Histogram(MAX_LATENCY_US, 3))
			.recordValue(latency);
	}

	private void releaseCache(ProgramRun run) {
		if (this.policy.programAware()) {
			String session = run.spec.id().sessionName();
			this.engines.forEach((engine) -> engine.release(session, this.nowNs));
		}
	}

	private void leave(SimEngine engine) {
		engine.leave().forEach(this::call);
	}

	private List<EngineLoad> loads() {
		return this.engines.stream().filter((e) -> !e.isLeaving()).map((e) -> e.load(this.nowNs)).toList();
	}

	private Outcome outcome() {
		double idle = 0;
		for (SimEngine engine : this.engines) {
			idle += engine.model.stats(this.nowNs).idleTokenSeconds();
		}
		double busiest = 0;
		double mean = 0;
		for (double busy : this.busyNs) {
			busiest = Math.max(busiest, busy / this.scenario.lengthNs());
			mean += busy / this.scenario.lengthNs() / this.busyNs.length;
		}
		return new Outcome(this.policy, this.programs, this.byAccount, this.firstToken, this.tokenInterval,
				this.wastedTokens, idle, this.offered, this.finished, this.shed, this.lastFinishNs, busiest, mean);
	}

	private void at(long atNs, Runnable action) {
		if (atNs < Long.MAX_VALUE) {
			this.events.add(new Event(atNs, this.scheduled++, action));
		}
	}

	private static long micros(long ns) {
		return Math.max(0, ns / 1_000);
	}

	private record Event(long atNs, int order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNs, other.atNs);
			return (byTime != 0) ? byTime : Integer.compare(this.order, other.order);
		}

	}

}

package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Programs of several accounts and kinds that run turns on a pool of engines and tool
 * calls on a pool of tools, in virtual time against two {@link PoolScheduler}s. A caller
 * repeats a refused request once, if it is told to return within a third of its time.
 */
final class LoadModel {

	static final int OBJECTIVE_MS = 250;

	/** Interval at which the schedulers check for overdue requests. */
	static final int TICK_MS = 50;

	private static final int DEADLINE_MS = 4000;

	/** Time that a caller needs between two requests. */
	private static final int CALLER_MS = 6;

	/** Relation of a program's target to its time on idle servers. */
	private static final double TARGET_RATIO = 1.2;

	private static final int ENGINE_SLOTS = 24;

	private static final int TOOL_SLOTS = 6;

	private final PriorityQueue<ScheduledAction> events = new PriorityQueue<>();

	private long nowMs;

	private long sequence;

	private final List<Program> programs = new ArrayList<>();

	private final Pool engines = new Pool(ENGINE_SLOTS);

	private final Pool tools = new Pool(TOOL_SLOTS);

	private long toolsSlowFromMs = Long.MAX_VALUE;

	private long toolsSlowUntilMs;

	private int inversions;

	private int heldRefusals;

	private final List<String> refusalsWithFreeServers = new ArrayList<>();

	/** Kind of programs: 100 ms a turn, 30 ms a tool call, on average. */
	enum Kind {

		URGENT(0, 2, 6), NORMAL(2, 8, 14);

		private final int priority;

		private final int minTurns;

		private final int maxTurns;

		Kind(int priority, int minTurns, int maxTurns) {
			this.priority = priority;
			this.minTurns = minTurns;
			this.maxTurns = maxTurns;
		}

	}

	/**
	 * Adds programs that begin at random times of an interval.
	 * @param seed seed of this source
	 */
	void addSource(String account, Kind kind, double perSecond, long fromMs, long untilMs, long seed) {
		Random random = new Random(seed);
		for (double at = fromMs; at < untilMs; at -= 1000 * Math.log(1 - random.nextDouble()) / perSecond) {
			Program program = new Program(account, kind, (long) at, random);
			this.programs.add(program);
			schedule((long) at, program::send);
		}
	}

	void slowTools(long fromMs, long untilMs) {
		this.toolsSlowFromMs = fromMs;
		this.toolsSlowUntilMs = untilMs;
	}

	void run(long untilMs) {
		for (long tick = 0; tick < untilMs; tick += TICK_MS) {
			schedule(tick, this.engines.scheduler::expireOverdue);
			schedule(tick, this.tools.scheduler::expireOverdue);
		}
		while (!this.events.isEmpty()) {
			ScheduledAction next = this.events.remove();
			this.nowMs = next.atMs();
			next.action().run();
		}
	}

	/**
	 * Returns the share of programs that were completed in time.
	 */
	double shareInTime(Predicate<Program> filter) {
		List<Program> selected = this.programs.stream().filter(filter).toList();
		return selected.stream().filter((program) -> program.inTime).count() / (double) Math.max(1, selected.size());
	}

	/** Grants before a more urgent request of the same stage that could be in time. */
	int inversions() {
		return this.inversions;
	}

	/** Refusals of requests that had waited. */
	int heldRefusals() {
		return this.heldRefusals;
	}

	/** Refusals while more than a fifth of the slots of both pools were free. */
	List<String> refusalsWithFreeServers() {
		return this.refusalsWithFreeServers;
	}

	/** Counts the outcomes, for failure messages. */
	String summary() {
		Map<String, Integer> counts = new HashMap<>();
		this.programs.forEach((program) -> counts.merge(program.kind + " " + program.outcome, 1, Integer::sum));
		return counts + " inversions " + this.inversions + " held " + this.heldRefusals + " free "
				+ this.refusalsWithFreeServers;
	}

	private void schedule(long atMs, Runnable action) {
		this.events.add(new ScheduledAction(atMs, ++this.sequence, action));
	}

	private final class Pool {

		private final int slots;

		private final PoolScheduler scheduler = new PoolScheduler(() -> LoadModel.this.nowMs * 1_000_000);

		private final Map<String, SlotRequest> waiting = new HashMap<>();

		Pool(int slots) {
			this.slots = slots;
			this.scheduler.updateServers(IntStream.range(0, slots / 6)
				.mapToObj((i) -> new PoolMember("s" + i, "p", "127.0.0.1:" + (i + 1), "a", 6, false, 0))
				.toList());
		}

		void submit(SlotRequest request, long serviceMs, Program program) {
			long sentMs = LoadModel.this.nowMs;
			this.waiting.put(request.id(), request);
			this.scheduler.submit(request, (decision) -> {
				this.waiting.remove(request.id());
				if (decision.serverId() == null) {
					recordRefusal(request, decision.reason(), LoadModel.this.nowMs - sentMs);
					program.handleRefusal(decision.retryAfterMs(), sentMs);
					return;
				}
				recordInversions(request, LoadModel.this.nowMs - sentMs);
				schedule(LoadModel.this.nowMs + serviceMs, () -> {
					this.scheduler.release(request.id(), 6, false);
					program.completeStep();
				});
			});
		}

		private void recordRefusal(SlotRequest request, String reason, long heldMs) {
			if (heldMs > OBJECTIVE_MS / 4 + TICK_MS) {
				LoadModel.this.heldRefusals++;
			}
			if (LoadModel.this.engines.isFree() && LoadModel.this.tools.isFree()) {
				LoadModel.this.refusalsWithFreeServers
					.add(LoadModel.this.nowMs + " ms: " + request.id() + " " + reason);
			}
		}

		private boolean isFree() {
			return this.scheduler.inFlight() < 0.8 * this.slots;
		}

		private void recordInversions(SlotRequest granted, long waitedMs) {
			for (SlotRequest other : this.waiting.values()) {
				boolean sameStage = other.programStarted() == granted.programStarted();
				if (waitedMs > 0 && sameStage && other.priority() < granted.priority()
						&& other.programRemainingMs() > DEADLINE_MS / 4) {
					LoadModel.this.inversions++;
				}
			}
		}

	}

	final class Program {

		private final String account;

		private final Kind kind;

		private final long begunMs;

		private final String name;

		// Alternating turns and tool calls, in milliseconds.
		private final int[] stepsMs;

		private final long targetMs;

		private int step;

		private int attempt;

		private boolean inTime;

		private String outcome = "unfinished";

		Program(String account, Kind kind, long begunMs, Random random) {
			this.account = account;
			this.kind = kind;
			this.begunMs = begunMs;
			this.name = account + kind + LoadModel.this.programs.size();
			int turns = kind.minTurns + random.nextInt(kind.maxTurns - kind.minTurns + 1);
			this.stepsMs = new int[2 * turns - 1];
			long idleMs = 0;
			for (int i = 0; i < this.stepsMs.length; i++) {
				this.stepsMs[i] = (i % 2 == 0) ? 50 + random.nextInt(101) : 15 + random.nextInt(31);
				idleMs += this.stepsMs[i] + CALLER_MS;
			}
			this.targetMs = Math.round(TARGET_RATIO * idleMs) + OBJECTIVE_MS;
		}

		String account() {
			return this.account;
		}

		Kind kind() {
			return this.kind;
		}

		long begunMs() {
			return this.begunMs;
		}

		private void send() {
			boolean turn = this.step % 2 == 0;
			long remainingMs = this.begunMs + this.targetMs - LoadModel.this.nowMs;
			List<PromptPart> prompt = turn ? List.of(new PromptPart(this.name, 300)) : List.of();
			SlotRequest request = new SlotRequest(this.name + "-" + this.step + "-" + this.attempt, "d1", this.account,
					this.name, turn ? "turns-" + this.kind : "tools", this.name, this.kind.priority, this.step > 0,
					remainingMs, OBJECTIVE_MS, DEADLINE_MS, prompt, 0, Set.of(), Set.of());
			long serviceMs = this.stepsMs[this.step];
			boolean slow = LoadModel.this.nowMs >= LoadModel.this.toolsSlowFromMs
					&& LoadModel.this.nowMs < LoadModel.this.toolsSlowUntilMs;
			if (turn) {
				LoadModel.this.engines.submit(request, serviceMs, this);
			}
			else {
				LoadModel.this.tools.submit(request, slow ? 2 * serviceMs : serviceMs, this);
			}
		}

		private void handleRefusal(long retryAfterMs, long sentMs) {
			this.attempt++;
			long leftMs = sentMs + DEADLINE_MS - LoadModel.this.nowMs;
			if (this.attempt > 1 || retryAfterMs > leftMs / 3) {
				this.outcome = (this.step == 0) ? "refused" : "cut";
				return;
			}
			schedule(LoadModel.this.nowMs + Math.max(1, retryAfterMs), this::send);
		}

		private void completeStep() {
			this.step++;
			this.attempt = 0;
			if (this.step < this.stepsMs.length) {
				schedule(LoadModel.this.nowMs + CALLER_MS, this::send);
				return;
			}
			this.inTime = LoadModel.this.nowMs - this.begunMs <= this.targetMs;
			this.outcome = this.inTime ? "in time" : "late";
		}

	}

}

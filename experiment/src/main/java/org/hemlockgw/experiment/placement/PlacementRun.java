package org.hemlockgw.experiment.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.hemlockgw.core.pool.PoolMember;
import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.SlotRequest;

/**
 * Plays the load of deployment A against a scheduler in virtual time. An engine is
 * removed and later another one added.
 */
final class PlacementRun {

	static final double TOTAL_MS = 60_000;

	private static final double REMOVED_MS = 25_000;

	private static final double ADDED_MS = 45_000;

	/** Time before and after a change in which moved sessions are counted. */
	private static final double CHANGE_MS = 3000;

	private static final double[] SPEEDS = { 0.7, 0.7, 1.7 };

	private static final int ENGINES = 31;

	private static final double URGENT_PER_SECOND = 24.9;

	private static final double LONG_PER_SECOND = 12.1;

	private static final int PREFIXES = 12;

	private static final int DAEMONS = 82;

	/** Time for which a daemon keeps an idle connection. */
	private static final double IDLE_MS = 5000;

	private static final double SPELL_SHARE = 0.15;

	private static final double SPELL_SLOWDOWN = 2.5;

	private final EventLoopModel loop = new EventLoopModel();

	private final Map<String, EngineModel> engines = new HashMap<>();

	private final Map<String, String> lastServers = new HashMap<>();

	private final List<Map<String, Double>> connections = new ArrayList<>();

	private final Set<String> everRead = new HashSet<>();

	private final Random random;

	private final double load;

	private final SlotScheduler scheduler;

	private final List<String> members = new ArrayList<>();

	private final Map<String, Double> activeSessions = new HashMap<>();

	private final List<Double> moves = new ArrayList<>();

	private int programs;

	private int inTime;

	private int continued;

	private long sequence;

	private long refusals;

	private double sessionsAtChanges;

	/**
	 * Creates a run.
	 * @param seed seed of the load
	 * @param load factor of the rate of programs
	 * @param factory creates the scheduler with a clock
	 */
	PlacementRun(long seed, double load, Function<LongSupplier, SlotScheduler> factory) {
		this.random = new Random(seed);
		this.load = load;
		this.scheduler = factory.apply(this.loop::nowNanos);
		for (int i = 0; i < DAEMONS; i++) {
			this.connections.add(new HashMap<>());
		}
	}

	/**
	 * Runs to the end.
	 * @return the result
	 */
	PlacementResult run() {
		for (int i = 0; i < ENGINES; i++) {
			addEngine("e" + i, SPEEDS[i % SPEEDS.length]);
		}
		updateServers();
		this.loop.schedule(REMOVED_MS, () -> change(() -> this.members.remove("e7")));
		this.loop.schedule(ADDED_MS, () -> change(() -> addEngine("e31", 0.7)));
		scheduleArrivals(URGENT_PER_SECOND, 2, 6, 0, 250);
		scheduleArrivals(LONG_PER_SECOND, 6, 16, 2, 500);
		for (double tick = 0; tick < TOTAL_MS; tick += 50) {
			this.loop.schedule(tick, this.scheduler::expireOverdue);
		}
		this.loop.runUntil(TOTAL_MS + 20_000);
		return result();
	}

	private void addEngine(String id, double speed) {
		Random spells = new Random(this.random.nextLong());
		double periodMs = 4000 + 4000 * spells.nextDouble();
		double phase = spells.nextDouble();
		this.engines.put(id, new EngineModel(this.loop, speed,
				(nowMs) -> ((nowMs / periodMs + phase) % 1 < SPELL_SHARE) ? SPELL_SLOWDOWN : 1, this.everRead));
		this.members.add(id);
	}

	private void change(Runnable action) {
		this.activeSessions.values().removeIf((atMs) -> this.loop.nowMs() - atMs > CHANGE_MS);
		this.sessionsAtChanges += this.activeSessions.size();
		action.run();
		updateServers();
	}

	private void updateServers() {
		this.scheduler.updateServers(this.members.stream()
			.map((id) -> new PoolMember(id, "p", "10.0.0.1:80", "a", EngineModel.SLOTS, false, 0))
			.toList());
	}

	private void scheduleArrivals(double perSecond, int minTurns, int maxTurns, int priority, int objectiveMs) {
		double atMs = 0;
		while (atMs < TOTAL_MS) {
			atMs -= 1000 * Math.log(1 - this.random.nextDouble()) / (perSecond * this.load);
			int turns = minTurns + this.random.nextInt(maxTurns - minTurns + 1);
			Program program = new Program(turns, priority, objectiveMs, this.random.nextLong(), List.of());
			this.loop.schedule(atMs, program::begin);
		}
	}

	private PlacementResult result() {
		double speeds = this.engines.values().stream().mapToDouble(EngineModel::speed).sum();
		long total = this.engines.values().stream().mapToLong(EngineModel::requests).sum();
		double busiest = this.engines.values()
			.stream()
			.mapToDouble((engine) -> engine.requests() / (total * engine.speed() / speeds))
			.max()
			.orElse(0);
		double busiestOfMean = this.engines.values().stream().mapToDouble(EngineModel::requests).max().orElse(0)
				* this.engines.size() / total;
		return new PlacementResult((double) this.inTime / this.programs, (double) this.moves.size() / this.continued,
				(movesIn(REMOVED_MS, CHANGE_MS) + movesIn(ADDED_MS, CHANGE_MS)
						- movesIn(REMOVED_MS - CHANGE_MS, CHANGE_MS) - movesIn(ADDED_MS - CHANGE_MS, CHANGE_MS))
						/ this.sessionsAtChanges,
				this.engines.values().stream().mapToLong(EngineModel::readTokens).sum(),
				this.engines.values().stream().mapToLong(EngineModel::rereadTokens).sum(), busiest, busiestOfMean,
				this.engines.values().stream().mapToInt(EngineModel::preemptions).sum(), this.refusals);
	}

	private double movesIn(double fromMs, double lengthMs) {
		return this.moves.stream().filter((atMs) -> atMs >= fromMs && atMs < fromMs + lengthMs).count();
	}

	private Set<String> connected(int daemon) {
		Map<String, Double> used = this.connections.get(daemon);
		used.values().removeIf((atMs) -> this.loop.nowMs() - atMs > IDLE_MS);
		return Set.copyOf(used.keySet());
	}

	/**
	 * Chain of turns with pauses between them, or a sub-agent of one.
	 */
	private final class Program {

		private final String session = "s" + ++PlacementRun.this.sequence;

		private final Random values;

		private final int turns;

		private final int priority;

		private final int objectiveMs;

		private final boolean subAgent;

		private final List<PromptPart> prompt = new ArrayList<>();

		private double begunMs;

		private double idleMs;

		private int turn;

		Program(int turns, int priority, int objectiveMs, long seed, List<PromptPart> inherited) {
			this.turns = turns;
			this.priority = priority;
			this.objectiveMs = objectiveMs;
			this.values = new Random(seed);
			this.subAgent = !inherited.isEmpty();
			this.prompt.addAll(inherited);
			if (!this.subAgent) {
				int kind = this.values.nextInt(PREFIXES);
				this.prompt.add(new PromptPart("k" + kind, 1000 + 170 * kind));
				this.prompt.add(new PromptPart("k" + kind + "-" + this.values.nextInt(3), 500));
			}
		}

		void begin() {
			this.begunMs = PlacementRun.this.loop.nowMs();
			nextTurn();
		}

		private void nextTurn() {
			this.prompt.add(new PromptPart(this.session + "-" + this.turn, 100 + this.values.nextInt(400)));
			int output = 20 + this.values.nextInt(140);
			this.idleMs += EngineModel.STEP_MS * output + 300 / EngineModel.PREFILL_TOKENS_PER_MS;
			if (this.turn > 0 && this.priority > 0 && !this.subAgent && this.values.nextDouble() < 0.1) {
				Program child = new Program(3, this.priority, this.objectiveMs, this.values.nextLong(),
						this.prompt.subList(0, 3));
				child.begin();
			}
			submit(this.session + "." + this.turn, output);
		}

		private void submit(String id, int output) {
			int daemon = this.values.nextInt(DAEMONS);
			long remainingMs = (long) (this.begunMs + aimMs() - PlacementRun.this.loop.nowMs());
			SlotRequest request = new SlotRequest(id, "d" + daemon, "", this.session, this.priority,
					this.subAgent || this.turn > 0, remainingMs, this.objectiveMs, 8000, List.copyOf(this.prompt), 160,
					Set.of(), connected(daemon));
			PlacementRun.this.scheduler.submit(request, (decision) -> {
				String server = decision.serverId();
				if (server == null) {
					PlacementRun.this.refusals++;
					PlacementRun.this.loop.schedule(PlacementRun.this.loop.nowMs() + decision.retryAfterMs() + 1,
							() -> submit(id + "r", output));
					return;
				}
				run(id, server, daemon, output);
			});
		}

		private double aimMs() {
			double mean = 3.0 * (EngineModel.STEP_MS * 90 + 4) + 3.0 * 150;
			double remaining = (this.turns - this.turn) * mean / 3;
			return 1.2 * (this.idleMs + remaining) + this.objectiveMs;
		}

		private void run(String id, String server, int daemon, int output) {
			double nowMs = PlacementRun.this.loop.nowMs();
			double connectMs = PlacementRun.this.connections.get(daemon).containsKey(server) ? 0 : 4;
			PlacementRun.this.activeSessions.put(this.session, nowMs);
			String last = PlacementRun.this.lastServers.put(this.session, server);
			if (last != null) {
				PlacementRun.this.continued++;
				if (!last.equals(server)) {
					PlacementRun.this.moves.add(nowMs);
				}
			}
			EngineModel engine = PlacementRun.this.engines.get(server);
			if (engine == null) {
				throw new IllegalStateException("no engine " + server);
			}
			List<PromptPart> sent = List.copyOf(this.prompt);
			PlacementRun.this.loop.schedule(nowMs + connectMs, () -> engine.start(sent, output, (timing) -> {
				PlacementRun.this.connections.get(daemon).put(server, PlacementRun.this.loop.nowMs());
				PlacementRun.this.scheduler.release(id, timing);
				completeTurn();
			}));
		}

		private void completeTurn() {
			this.turn++;
			if (this.turn < this.turns) {
				double pauseMs = 50 + this.values.nextInt(200);
				this.idleMs += pauseMs;
				PlacementRun.this.loop.schedule(PlacementRun.this.loop.nowMs() + pauseMs, this::nextTurn);
				return;
			}
			if (!this.subAgent) {
				PlacementRun.this.programs++;
				double aimMs = 1.2 * this.idleMs + this.objectiveMs;
				PlacementRun.this.inTime += (PlacementRun.this.loop.nowMs() - this.begunMs <= aimMs) ? 1 : 0;
			}
		}

	}

}

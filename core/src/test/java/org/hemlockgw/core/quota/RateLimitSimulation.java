package org.hemlockgw.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.RateLimit;
import org.hemlockgw.core.account.RateLimitBounds;

/**
 * Daemons, a store that assigns one shard to them, and callers of one account, driven by
 * one seed. Times are milliseconds of true time; daemons see only their own clocks.
 */
final class RateLimitSimulation {

	static final RateLimitBounds BOUNDS = new RateLimitBounds(Duration.ofSeconds(5), 0.1, 20);

	private static final String ACCOUNT = "acme";

	private static final long LIFETIME_MS = 1050;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Run> runs = new ArrayList<>();

	private final List<CapPeriod> capPeriods = new ArrayList<>();

	private boolean faults = true;

	private final int faultIntervalMs;

	private final double returnedFraction;

	private boolean storeDown;

	private long maxDelayMs = 200;

	private long nowMs;

	private long scheduled;

	private long generation = 1;

	private int holder = -1;

	private int denied;

	private int asked;

	private int unconfirmedRuns;

	private int handovers;

	private double peakUse;

	RateLimitSimulation(long seed, int daemonCount, RateLimit cap) {
		this.random = new Random(seed);
		this.faultIntervalMs = 1500 << this.random.nextInt(4);
		this.returnedFraction = this.random.nextInt(3) / 4.0;
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new Daemon(i, cap));
		}
		this.daemons.forEach((daemon) -> after(this.random.nextInt(350), daemon::join));
		after(100, this::expire);
		after(this.faultIntervalMs, this::injectFault);
	}

	void withoutFaults() {
		this.faults = false;
		this.maxDelayMs = 4;
	}

	void killHolderAt(long atMs) {
		after(atMs, () -> this.daemons.get(this.holder).restart(5000));
	}

	/**
	 * Starts rolling restarts of daemons that don't hold the shard: generations without a
	 * change of its holder, of which each join skips several.
	 */
	void startRollingRestarts() {
		after(325, () -> {
			this.generation += 4;
			startRollingRestarts();
		});
	}

	/**
	 * Starts skipped generations in which the shard may move to another daemon or there
	 * and back.
	 */
	void startReassignments() {
		after(20 + this.random.nextInt(256 << this.random.nextInt(6)), () -> {
			this.generation += 1 + this.random.nextInt(4);
			List<Daemon> members = this.daemons.stream().filter((each) -> each.member).toList();
			if (!members.isEmpty() && this.random.nextInt(3) == 0) {
				this.generation++;
				this.holder = members.get(this.random.nextInt(members.size())).index;
			}
			startReassignments();
		});
	}

	void run(long durationMs) {
		while (!this.events.isEmpty() && this.events.peek().atMs() <= durationMs) {
			Event event = this.events.remove();
			this.nowMs = event.atMs();
			event.action().run();
		}
	}

	private void after(long delayMs, Runnable action) {
		this.events.add(new Event(this.nowMs + delayMs, this.scheduled++, action));
	}

	private long delay() {
		boolean slow = this.faults && this.random.nextInt(20) == 0;
		return this.random.nextLong(slow ? 3000 : this.maxDelayMs);
	}

	private boolean isLost() {
		return this.faults && this.random.nextInt(20) == 0;
	}

	private void injectFault() {
		if (!this.faults) {
			return;
		}
		Daemon daemon = this.daemons.get((this.holder >= 0 && this.random.nextBoolean()) ? this.holder
				: this.random.nextInt(this.daemons.size()));
		long durationMs = 100 + this.random.nextInt(this.random.nextBoolean() ? 1500 : 12_000);
		switch (this.random.nextInt(9)) {
			case 0 -> daemon.pause(durationMs, false);
			case 1 -> daemon.pause(durationMs, true);
			case 2, 3, 4 -> daemon.cutFromStore(durationMs);
			case 5 -> daemon.restart(durationMs / 4);
			case 6 -> daemon.leave();
			case 7 -> {
				this.storeDown = true;
				after(durationMs / 2, () -> this.storeDown = false);
			}
			default -> {
				if (this.random.nextInt(6) == 0) {
					this.daemons.forEach((each) -> each.restart(300));
				}
				else if (this.random.nextInt(3) == 0) {
					changeCap();
				}
			}
		}
		after(this.random.nextInt(this.faultIntervalMs), this::injectFault);
	}

	private void changeCap() {
		RateLimit cap = (this.random.nextInt(5) == 0) ? null
				: new RateLimit(1 + this.random.nextInt(20), this.random.nextInt(30));
		if (cap == null) {
			after(5000, () -> setCap(new RateLimit(5, 10)));
		}
		setCap(cap);
	}

	private void setCap(@Nullable RateLimit cap) {
		for (Daemon daemon : this.daemons) {
			after(this.random.nextInt(2000), () -> {
				this.capPeriods.add(new CapPeriod(daemon.capSinceMs, this.nowMs, daemon.cap));
				daemon.cap = cap;
				daemon.capSinceMs = this.nowMs;
			});
		}
	}

	private void expire() {
		if (!this.storeDown) {
			this.daemons.stream()
				.filter((daemon) -> daemon.member && this.nowMs - daemon.joinedMs > LIFETIME_MS)
				.forEach(this::removeMember);
		}
		after(10, this::expire);
	}

	private void removeMember(Daemon daemon) {
		daemon.member = false;
		this.generation++;
		if (this.holder == daemon.index) {
			List<Daemon> members = this.daemons.stream().filter((each) -> each.member).toList();
			this.holder = members.isEmpty() ? -1 : members.get(this.random.nextInt(members.size())).index;
		}
	}

	private void storeReceivesJoin(Daemon daemon) {
		daemon.joinedMs = this.nowMs;
		if (!daemon.member) {
			daemon.member = true;
			this.generation++;
			if (this.holder < 0 || this.random.nextInt(6) == 0) {
				this.holder = daemon.index;
			}
		}
	}

	/**
	 * Starts callers that send evenly spaced requests to random daemons.
	 * @param intervalMs time between two requests
	 */
	void startSteadyCallers(long intervalMs) {
		after(intervalMs, () -> {
			send();
			startSteadyCallers(intervalMs);
		});
	}

	/**
	 * Starts callers that alternate between silence and floods.
	 * @param requests number of requests of a flood per second
	 */
	void startFloods(int requests) {
		long beginMs = this.random.nextInt(8000);
		long lengthMs = 200 + this.random.nextInt(this.random.nextBoolean() ? 1000 : 8000);
		for (long number = 0; number < requests * lengthMs / 1000; number++) {
			after(beginMs + this.random.nextLong(lengthMs), this::send);
		}
		after(beginMs + lengthMs, () -> startFloods(requests));
	}

	private void send() {
		this.asked++;
		ask(this.daemons.get(this.random.nextInt(this.daemons.size())), this.nowMs, this.nowMs + 150);
	}

	private void ask(Daemon entry, long sentMs, long untilMs) {
		if (entry.cap == null) {
			after(delay(), () -> this.runs.add(new Run(sentMs, this.nowMs)));
			return;
		}
		boolean stray = this.faults && this.random.nextBoolean();
		Daemon target = this.daemons.get(stray ? this.random.nextInt(this.daemons.size()) : Math.max(0, this.holder));
		PermitRequest request = new PermitRequest(ACCOUNT, this.random.nextInt(50) + 1, this.random.nextInt(4) == 0);
		after(isLost() ? Long.MAX_VALUE / 4 : delay(), () -> target.whenRunning(() -> {
			HolderState state = target.permits.state();
			PermitDecision decision = target.permits.decide(request);
			switch (decision.status()) {
				case GRANTED -> {
					this.unconfirmedRuns += (state == HolderState.UNCONFIRMED) ? 1 : 0;
					useGrant(target, sentMs, decision.permit());
				}
				case NOT_READY -> {
					if (this.nowMs < untilMs) {
						after(20, () -> ask(entry, sentMs, untilMs));
					}
					else {
						this.denied++;
					}
				}
				default -> this.denied++;
			}
		}));
	}

	private void useGrant(Daemon holderDaemon, long sentMs, long permit) {
		ShardPermits grantor = holderDaemon.permits;
		if (this.faults && this.random.nextDouble() < this.returnedFraction) {
			after(delay(), () -> holderDaemon.whenRunning(() -> grantor.giveBack(ACCOUNT, permit)));
		}
		else {
			after(delay(), () -> this.runs.add(new Run(sentMs, this.nowMs)));
		}
	}

	/**
	 * Returns the first window in which more requests ran than allowed, counted
	 * independently of the tested classes.
	 * @return description, or null if there is none
	 */
	@Nullable String findViolation() {
		this.daemons
			.forEach((daemon) -> this.capPeriods.add(new CapPeriod(daemon.capSinceMs, Long.MAX_VALUE, daemon.cap)));
		List<Run> sorted = this.runs.stream().sorted(Comparator.comparingLong(Run::sentMs)).toList();
		long windowMs = BOUNDS.window().toMillis();
		for (int i = 0; i < sorted.size(); i++) {
			long begin = sorted.get(i).sentMs();
			int count = 0;
			for (int j = i; j < sorted.size() && sorted.get(j).sentMs() < begin + windowMs; j++) {
				count += (sorted.get(j).ranMs() < begin + windowMs) ? 1 : 0;
			}
			double allowed = maxAllowed(begin, begin + windowMs);
			this.peakUse = Math.max(this.peakUse, count / allowed);
			if (count > allowed) {
				return count + " requests ran from " + begin + " ms on, allowed are " + allowed;
			}
		}
		return null;
	}

	// A change is binding one window after all daemons have it.
	private double maxAllowed(long fromMs, long toMs) {
		double rate = 0;
		double burst = 0;
		for (CapPeriod period : this.capPeriods) {
			if (period.fromMs() > toMs || period.toMs() < fromMs) {
				continue;
			}
			if (period.cap() == null) {
				return Double.MAX_VALUE;
			}
			rate = Math.max(rate, period.cap().ratePerSecond());
			burst = Math.max(burst, period.cap().burst());
		}
		return (rate * BOUNDS.window().toSeconds() + burst) * (1 + BOUNDS.excess()) + BOUNDS.slack();
	}

	double peakUse() {
		return this.peakUse;
	}

	int deniedCount() {
		return this.denied;
	}

	int askedCount() {
		return this.asked;
	}

	int unconfirmedRunCount() {
		return this.unconfirmedRuns;
	}

	int handoverCount() {
		return this.handovers;
	}

	private record Event(long atMs, long number, Runnable action) {
	}

	private record Run(long sentMs, long ranMs) {
	}

	private record CapPeriod(long fromMs, long toMs, @Nullable RateLimit cap) {
	}

	/**
	 * One daemon with clocks of its own.
	 */
	private final class Daemon {

		private final int index;

		private @Nullable RateLimit cap;

		private long capSinceMs;

		private ShardPermits permits;

		private boolean member;

		private long joinedMs;

		private long runningFromMs;

		private boolean dead;

		private long cutUntilMs;

		private long suspendedMs;

		private long knownGeneration;

		private int previous = -1;

		private long previousGeneration;

		private long previousSinceNanos;

		Daemon(int index, RateLimit cap) {
			this.index = index;
			this.cap = cap;
			this.permits = newPermits();
		}

		private ShardPermits newPermits() {
			return new ShardPermits(this::clock, (account) -> this.cap, BOUNDS);
		}

		private ClockReading clock() {
			RateLimitSimulation simulation = RateLimitSimulation.this;
			return new ClockReading((simulation.nowMs - this.suspendedMs) * 1_000_000, simulation.nowMs + 1_000_000);
		}

		private void whenRunning(Runnable action) {
			ShardPermits process = this.permits;
			long waitMs = this.runningFromMs - RateLimitSimulation.this.nowMs;
			if (waitMs <= 0) {
				action.run();
			}
			else if (!this.dead) {
				after(waitMs, () -> {
					if (this.permits == process) {
						whenRunning(action);
					}
				});
			}
		}

		private void pause(long durationMs, boolean suspended) {
			if (RateLimitSimulation.this.nowMs >= this.runningFromMs) {
				this.runningFromMs = RateLimitSimulation.this.nowMs + durationMs;
				after(durationMs, () -> this.suspendedMs += suspended ? durationMs : 0);
			}
		}

		private void cutFromStore(long durationMs) {
			this.cutUntilMs = RateLimitSimulation.this.nowMs + durationMs;
		}

		private void restart(long durationMs) {
			this.runningFromMs = Math.max(this.runningFromMs, RateLimitSimulation.this.nowMs) + durationMs;
			this.dead = true;
			this.knownGeneration = 0;
			this.previous = -1;
			this.permits = newPermits();
			after(this.runningFromMs - RateLimitSimulation.this.nowMs, () -> this.dead = false);
		}

		private void leave() {
			if (this.member && !RateLimitSimulation.this.storeDown) {
				this.permits.lose();
				removeMember(this);
			}
		}

		private void join() {
			after(350, this::join);
			if (RateLimitSimulation.this.nowMs < this.runningFromMs) {
				return;
			}
			ClockReading sent = clock();
			ShardPermits process = this.permits;
			after(delay(), () -> {
				if (RateLimitSimulation.this.nowMs < this.cutUntilMs || RateLimitSimulation.this.storeDown) {
					return;
				}
				storeReceivesJoin(this);
				long joinedGeneration = RateLimitSimulation.this.generation;
				int joinedHolder = RateLimitSimulation.this.holder;
				after(delay(), () -> whenRunning(() -> {
					if (this.permits == process) {
						apply(joinedGeneration, joinedHolder, sent);
					}
				}));
			});
		}

		private void apply(long newGeneration, int newHolder, ClockReading sent) {
			if (newGeneration < this.knownGeneration) {
				return;
			}
			if (newHolder != this.index) {
				if (newHolder != this.previous || newGeneration > this.knownGeneration + 1) {
					this.previousSinceNanos = clock().nanos();
				}
				this.previous = newHolder;
				this.previousGeneration = newGeneration;
				this.permits.lose();
			}
			this.knownGeneration = newGeneration;
			if (newHolder == this.index && this.permits.confirm(newGeneration, sent) && this.previous >= 0) {
				askPrevious(newGeneration, RateLimitSimulation.this.daemons.get(this.previous));
			}
		}

		private void askPrevious(long acquiredGeneration, Daemon target) {
			ShardPermits process = this.permits;
			after(100, () -> whenRunning(() -> {
				if (process == this.permits && process.state() == HolderState.WAITING
						&& process.acquiredGeneration() == acquiredGeneration) {
					askPrevious(acquiredGeneration, RateLimitSimulation.this.daemons.get(this.previous));
				}
			}));
			after(delay(), () -> {
				if (target.dead) {
					this.permits.previousEnded(acquiredGeneration, this.previousGeneration, this.previousSinceNanos);
					return;
				}
				target.whenRunning(() -> {
					ShardPermitsState state = target.permits.handOver(acquiredGeneration);
					after(isLost() ? Long.MAX_VALUE / 4 : delay(), () -> whenRunning(() -> {
						if (state != null && this.permits == process) {
							RateLimitSimulation.this.handovers++;
							process.previousAnswered(acquiredGeneration, state);
						}
					}));
				});
			});
		}

	}

}

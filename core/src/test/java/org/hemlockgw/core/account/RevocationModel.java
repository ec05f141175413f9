package org.hemlockgw.core.account;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;

/**
 * Simulates daemons that use a key, a store in which the key is revoked, and the faults
 * between them, in real time that no daemon knows. Counts requests that ran although they
 * were sent later than the limit after the acknowledged revocation.
 */
final class RevocationModel {

	static final long REVOKE_MS = 5000;

	private static final long REVOKED_AT_MS = 15_000;

	private static final long END_MS = 45_000;

	private static final long POLL_MS = 1500;

	private static final long POLL_TIMEOUT_MS = 2300;

	private static final long PEER_TIMEOUT_MS = 300;

	private static final int DAEMONS = 4;

	private static final AccountDirectory WITH_KEY = new AccountDirectory.Builder()
		.add(new ClientAccount("acme", null, null), List.of("key"))
		.build();

	private static final AccountDirectory WITHOUT_KEY = new AccountDirectory.Builder()
		.add(new ClientAccount("acme", null, null), List.of())
		.build();

	private final SplittableRandom random;

	private final Fault fault;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private long nowMs;

	private long eventCount;

	private boolean storeDown;

	int violations;

	int acceptedBefore;

	int acceptedAfter;

	int refusedAsUnproven;

	int peerProofs;

	RevocationModel(long seed, Fault fault) {
		this.random = new SplittableRandom(seed);
		this.fault = fault;
		for (int i = 0; i < DAEMONS; i++) {
			this.daemons.add(new Daemon(i));
		}
	}

	void run() {
		this.daemons.forEach((daemon) -> {
			daemon.restart();
			at(this.random.nextInt(3000), () -> disturb(daemon));
		});
		at(this.random.nextInt((int) END_MS), this::disturbStore);
		at(500, this::sendRequest);
		for (Event event = this.events.poll(); event != null && event.timeMs() < END_MS; event = this.events.poll()) {
			this.nowMs = event.timeMs();
			event.action().run();
		}
	}

	private void at(long timeMs, Runnable action) {
		this.events.add(new Event(timeMs, this.eventCount++, action));
	}

	private void after(long delayMs, Runnable action) {
		at(this.nowMs + delayMs, action);
	}

	// Most messages are fast; some arrive late, also after the time limit of their call.
	private long latencyMs() {
		return (this.random.nextInt(20) == 0) ? this.random.nextInt(9000) : 1 + this.random.nextInt(20);
	}

	private long newestVersion() {
		return (this.nowMs >= REVOKED_AT_MS) ? 2 : 1;
	}

	private void sendRequest() {
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		long sentMs = this.nowMs;
		after(3, () -> daemon.receive(() -> handleRequest(daemon, sentMs)));
		after(1 + this.random.nextInt(40), this::sendRequest);
	}

	private void handleRequest(Daemon daemon, long sentMs) {
		if (daemon.version == 0) {
			return;
		}
		AccountAccess.Outcome outcome = AccountAccess
			.decide((daemon.version == 1) ? WITH_KEY : WITHOUT_KEY, false, () -> daemon.proof.isValid(), "Bearer key")
			.outcome();
		if (outcome == AccountAccess.Outcome.PROOF_TOO_OLD) {
			this.refusedAsUnproven++;
		}
		if (outcome != AccountAccess.Outcome.ACCEPTED) {
			return;
		}
		if (sentMs > REVOKED_AT_MS + REVOKE_MS) {
			this.violations++;
		}
		else if (sentMs > REVOKED_AT_MS) {
			this.acceptedAfter++;
		}
		else {
			this.acceptedBefore++;
		}
	}

	private void disturbStore() {
		this.storeDown = true;
		after(this.random.nextInt(12_000), () -> this.storeDown = false);
		if (this.random.nextInt(4) == 0) {
			this.daemons.forEach(Daemon::restart);
		}
	}

	private void disturb(Daemon daemon) {
		int durationMs = this.random.nextInt(12_000);
		switch (this.random.nextInt(6)) {
			case 0 -> {
				daemon.cut = true;
				after(durationMs, () -> daemon.cut = false);
			}
			case 1 -> daemon.pause(durationMs, false);
			case 2 -> daemon.pause(durationMs, true);
			case 3 -> daemon.wallStepMs += this.random.nextInt(24_000) - 12_000;
			case 4 -> daemon.restart();
			default -> {
				// A step back hides a later suspension from both clocks' total
				// differences.
				daemon.wallStepMs -= durationMs;
				after(200, () -> daemon.pause(durationMs, true));
			}
		}
		after(durationMs + this.random.nextInt(6000), () -> disturb(daemon));
	}

	/**
	 * Planted fault.
	 */
	enum Fault {

		/** No fault. */
		NONE,

		/** Proofs are dated from the answer of the store. */
		DATED_FROM_ANSWER,

		/** Only the monotonic clock is used. */
		MONOTONIC_CLOCK_ONLY,

		/** Proofs of other daemons are dated from their reply. */
		PEER_AGE_IGNORED

	}

	private record Event(long timeMs, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.timeMs, other.timeMs);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

	/**
	 * A daemon with its clocks and its connections.
	 */
	private final class Daemon {

		private final int number;

		// Deviation that the margin of the bound allows for.
		private final double clockRate;

		private final Deque<Runnable> inbox = new ArrayDeque<>();

		private ConfigurationProof proof;

		private @Nullable PeerProofSchedule schedule;

		private long version;

		private int incarnation;

		private boolean cut;

		private boolean paused;

		private long suspendedMs;

		private long wallStepMs;

		private long callNumber;

		Daemon(int number) {
			this.number = number;
			this.clockRate = 0.95 + RevocationModel.this.random.nextInt(100) / 1000.0;
			this.proof = newProof();
		}

		private ConfigurationProof newProof() {
			return new ConfigurationProof(Duration.ofMillis(REVOKE_MS), this::nanos,
					(RevocationModel.this.fault == Fault.MONOTONIC_CLOCK_ONLY) ? () -> Instant.EPOCH : this::instant);
		}

		private long nanos() {
			return (long) ((RevocationModel.this.nowMs - this.suspendedMs) * this.clockRate * 1_000_000);
		}

		private Instant instant() {
			return Instant.ofEpochMilli(1_000_000 + RevocationModel.this.nowMs + this.wallStepMs);
		}

		void restart() {
			this.incarnation++;
			this.version = 0;
			this.inbox.clear();
			this.proof = newProof();
			PeerProofSchedule newSchedule = new PeerProofSchedule(Duration.ofMillis(4500),
					this.proof.clock().getAsLong(), this.number);
			this.schedule = newSchedule;
			poll(0);
			tick(this.incarnation, newSchedule);
		}

		void pause(long durationMs, boolean suspended) {
			if (this.paused) {
				return;
			}
			this.paused = true;
			after(durationMs, () -> {
				this.paused = false;
				this.suspendedMs += suspended ? durationMs : 0;
				// The order of messages and timers after a pause is arbitrary.
				List<Runnable> waiting = new ArrayList<>(this.inbox);
				this.inbox.clear();
				waiting.forEach(Runnable::run);
			});
		}

		// While the VM is suspended its monotonic clock stands still, but nothing reads
		// it.
		void receive(Runnable message) {
			if (this.paused) {
				this.inbox.add(message);
			}
			else {
				message.run();
			}
		}

		private void receiveIn(int expectedIncarnation, long delayMs, Runnable message) {
			after(delayMs, () -> receive(() -> {
				if (this.incarnation == expectedIncarnation) {
					message.run();
				}
			}));
		}

		private void tick(int startedIncarnation, PeerProofSchedule current) {
			receiveIn(startedIncarnation, 100, () -> {
				long now = this.proof.clock().getAsLong();
				String peer = current.next(now, this.proof.ageNanos(), false, this::peers);
				if (peer != null) {
					ask(RevocationModel.this.daemons.get(Integer.parseInt(peer)), now, current);
				}
				tick(startedIncarnation, current);
			});
		}

		private List<String> peers() {
			return RevocationModel.this.daemons.stream()
				.filter((daemon) -> daemon != this)
				.map((daemon) -> String.valueOf(daemon.number))
				.toList();
		}

		private void poll(long delayMs) {
			receiveIn(this.incarnation, delayMs, () -> {
				long call = ++this.callNumber;
				long sent = this.proof.clock().getAsLong();
				receiveIn(this.incarnation, POLL_TIMEOUT_MS, () -> {
					if (this.callNumber == call) {
						poll(0);
					}
				});
				if (!this.cut && !RevocationModel.this.storeDown) {
					long known = this.version;
					after(latencyMs(), () -> answerPoll(call, sent, known, RevocationModel.this.nowMs + POLL_MS));
				}
			});
		}

		private void answerPoll(long call, long sent, long known, long untilMs) {
			long newest = newestVersion();
			if (newest <= known && RevocationModel.this.nowMs < untilMs) {
				after(10, () -> answerPoll(call, sent, known, untilMs));
				return;
			}
			if (this.cut || RevocationModel.this.storeDown) {
				return;
			}
			receiveIn(this.incarnation, latencyMs(), () -> {
				if (this.callNumber != call) {
					return;
				}
				this.version = Math.max(this.version, newest);
				this.proof.record((RevocationModel.this.fault == Fault.DATED_FROM_ANSWER)
						? this.proof.clock().getAsLong() : sent);
				poll(0);
			});
		}

		private void ask(Daemon peer, long sent, PeerProofSchedule current) {
			boolean[] done = new boolean[1];
			receiveIn(this.incarnation, PEER_TIMEOUT_MS, () -> {
				if (!done[0]) {
					done[0] = true;
					current.failed(this.proof.clock().getAsLong());
				}
			});
			int asker = this.incarnation;
			after(latencyMs(), () -> peer.receive(() -> {
				long age = peer.proof.ageNanos();
				long peerVersion = peer.version;
				receiveIn(asker, latencyMs(), () -> {
					if (done[0]) {
						return;
					}
					done[0] = true;
					boolean useful = peerVersion >= this.version && peerVersion > 0 && age != Long.MAX_VALUE;
					if (useful) {
						this.version = peerVersion;
						this.proof.record((RevocationModel.this.fault == Fault.PEER_AGE_IGNORED)
								? this.proof.clock().getAsLong() : sent - age);
						RevocationModel.this.peerProofs++;
					}
					current.replied(useful);
				});
			}));
		}

	}

}

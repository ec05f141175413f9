package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;

import org.hemlockgw.core.program.CallEvent;

/**
 * One attempt of a model turn on one engine.
 */
final class TurnAttempt {

	/**
	 * Longest silence within an answer. Dispatchers resume a silent engine stream
	 * earlier, so a longer silence means that the dispatcher itself is stalled.
	 */
	static final Duration MAX_SILENCE = Duration.ofSeconds(5);

	/**
	 * Part of the time to the deadline that an attempt may wait for its first event: 1/2,
	 * which leaves time for another attempt.
	 */
	private static final int FIRST_EVENT_FRACTION = 2;

	private final String id = UUID.randomUUID().toString();

	private final String engine;

	private final Instant startedAt;

	private final Duration firstEventLimit;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile Instant lastProgress;

	private volatile boolean started;

	TurnAttempt(String engine, Instant now, Instant deadline) {
		this.engine = engine;
		this.startedAt = now;
		this.lastProgress = now;
		Duration part = Duration.between(now, deadline).dividedBy(FIRST_EVENT_FRACTION);
		this.firstEventLimit = (part.compareTo(MAX_SILENCE) > 0) ? part : MAX_SILENCE;
	}

	String id() {
		return this.id;
	}

	String engine() {
		return this.engine;
	}

	Instant startedAt() {
		return this.startedAt;
	}

	void received(AnswerStream answer, CallEvent event, Instant now) {
		this.started = true;
		this.lastProgress = now;
		answer.offer(this, event);
	}

	// Tells when the attempt is stalled unless there is progress before.
	Instant stalledAt() {
		return this.lastProgress.plus(this.started ? MAX_SILENCE : this.firstEventLimit);
	}

	// Returns true for the first caller only, which handles the end of the attempt.
	boolean end() {
		return this.ended.compareAndSet(false, true);
	}

	boolean ended() {
		return this.ended.get();
	}

}

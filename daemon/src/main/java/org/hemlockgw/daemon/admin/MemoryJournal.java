package org.hemlockgw.daemon.admin;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.explain.RequestEventRecorder;

/**
 * Keeps the events of the latest requests in memory. Memory is bounded by the number of
 * requests, of events per request and of characters per reason.
 */
public final class MemoryJournal implements RequestEventRecorder {

	/** Requests kept; the oldest is dropped first. */
	public static final int MAX_REQUESTS = 2048;

	/** Events kept of one request; later ones are dropped. */
	public static final int MAX_EVENTS = 32;

	private static final int MAX_REASON_LENGTH = 200;

	private final InstantSource clock;

	private final Map<String, List<Event>> events = new LinkedHashMap<>();

	public MemoryJournal(InstantSource clock) {
		this.clock = clock;
	}

	@Override
	public void record(ProgramId program, String requestId, String hop, String event, String reason) {
		String kept = (reason.length() > MAX_REASON_LENGTH) ? reason.substring(0, MAX_REASON_LENGTH) : reason;
		Event entry = new Event(this.clock.instant(), program, hop, event, kept);
		synchronized (this.events) {
			List<Event> list = this.events.computeIfAbsent(requestId, (id) -> new ArrayList<>(4));
			if (list.size() < MAX_EVENTS) {
				list.add(entry);
			}
			if (this.events.size() > MAX_REQUESTS) {
				this.events.remove(this.events.keySet().iterator().next());
			}
		}
	}

	/**
	 * Returns the events of a request.
	 * @param requestId the request
	 * @return events in the order of recording; empty if none is kept
	 */
	public List<Event> find(String requestId) {
		synchronized (this.events) {
			return List.copyOf(this.events.getOrDefault(requestId, List.of()));
		}
	}

	/**
	 * One event of a request.
	 *
	 * @param time when it was recorded
	 * @param program the program
	 * @param hop {@code entry}, {@code owner} or {@code dispatcher}
	 * @param event what happened
	 * @param reason why
	 */
	public record Event(Instant time, ProgramId program, String hop, String event, String reason) {
	}

}

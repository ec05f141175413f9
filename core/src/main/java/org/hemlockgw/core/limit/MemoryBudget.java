package org.hemlockgw.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.limit.ClientMemory.Phase;

/**
 * Limits the memory that a daemon holds for its clients and decides who waits, who is
 * refused and whose connection is closed first. Large bodies have a part of the memory of
 * their own, so that they never delay small requests. Confined to one thread.
 */
public final class MemoryBudget {

	/** Size in bytes above which a body is large. */
	public static final int MAX_SMALL_BODY_BYTES = 64 * 1024;

	/**
	 * Time in nanoseconds without sufficient progress after which a connection may be
	 * closed in favour of others.
	 */
	static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time in nanoseconds after it was accepted within which a connection isn't closed in
	 * favour of others. Otherwise the connections that are accepted in one pass of the
	 * event loop would close each other before their requests are read.
	 */
	static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * Time in nanoseconds that a large body waits for memory. Deadlines of callers are a
	 * few seconds.
	 */
	static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** Maximum number of large bodies that wait. */
	static final int MAX_WAITING = 64;

	private final long maxSmallBytes;

	private final long maxLargeBytes;

	private final LongSupplier nanoClock;

	private final Supplier<ProgressLimits> limits;

	private final List<ConnectionGroup> groups = new ArrayList<>();

	private final Deque<ClientMemory> waiting = new ArrayDeque<>();

	private final Map<CloseCause, Long> closedCounts = new EnumMap<>(CloseCause.class);

	private long smallBytes;

	private long largeBytes;

	private long refusedCount;

	private long lastCheckNanos;

	/**
	 * Creates a budget.
	 * @param maxSmallBytes memory in bytes for heads, small bodies and unread responses
	 * @param maxLargeBytes memory in bytes for large bodies
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param limits time limits in force
	 */
	public MemoryBudget(long maxSmallBytes, long maxLargeBytes, LongSupplier nanoClock,
			Supplier<ProgressLimits> limits) {
		this.maxSmallBytes = maxSmallBytes;
		this.maxLargeBytes = maxLargeBytes;
		this.nanoClock = nanoClock;
		this.limits = limits;
		this.lastCheckNanos = nanoClock.getAsLong();
	}

	/**
	 * Creates a budget that suits the memory of a process. Large bodies take at most half
	 * of the direct memory; the rest is for data in transit to and from sockets, of which
	 * the small area, also a quarter of the heap at most, counts the larger part. Both
	 * take at most a quarter of the memory of the process together.
	 * @param heapBytes maximum size of the heap in bytes
	 * @param directBytes maximum size of the direct memory in bytes
	 * @param processBytes memory that the process may use, in bytes
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param limits time limits in force
	 * @return the budget
	 */
	public static MemoryBudget of(long heapBytes, long directBytes, long processBytes, LongSupplier nanoClock,
			Supplier<ProgressLimits> limits) {
		long small = Math.min(Math.min(heapBytes / 4, directBytes / 3), processBytes / 10);
		long large = Math.min(directBytes / 2, processBytes / 4 - small);
		return new MemoryBudget(small, large, nanoClock, limits);
	}

	/**
	 * Registers the connections of a port.
	 * @param group the connections
	 */
	public void add(ConnectionGroup group) {
		this.groups.add(group);
	}

	/**
	 * Registers an accepted connection. If its port has too many, another one is closed
	 * that has no request in progress.
	 * @param group connections of the port
	 * @param owner the connection
	 * @return its memory, or null if the connection must be closed
	 */
	public @Nullable ClientMemory open(ConnectionGroup group, ClientMemory.Owner owner) {
		if (group.isFull()) {
			ClientMemory victim = findConnectionToClose(group);
			if (victim == null) {
				this.closedCounts.merge(CloseCause.CONNECTIONS, 1L, Long::sum);
				return null;
			}
			close(victim, CloseCause.CONNECTIONS);
		}
		ClientMemory memory = new ClientMemory(owner, group, now());
		group.members.add(memory);
		return memory;
	}

	private @Nullable ClientMemory findConnectionToClose(ConnectionGroup group) {
		ClientMemory found = null;
		for (ClientMemory memory : group.members) {
			if (memory.closing || rank(memory) == Rank.NEVER_CLOSED) {
				continue;
			}
			int order = (found != null) ? rank(memory).compareTo(rank(found)) : -1;
			if (order < 0 || (order == 0 && found != null && memory.progressNanos - found.progressNanos < 0)) {
				found = memory;
			}
		}
		return found;
	}

	private Rank rank(ClientMemory memory) {
		if (isStalled(memory)) {
			return Rank.STALLED;
		}
		return switch (memory.phase) {
			case IDLE -> Rank.IDLE;
			case NEW -> (now() - memory.phaseSinceNanos < FIRST_REQUEST_NANOS) ? Rank.NEVER_CLOSED : Rank.UNUSED;
			case HEAD, BODY -> (memory.stalledSinceNanos != 0) ? Rank.SLOW : Rank.RECEIVING;
			case ANSWERING -> Rank.NEVER_CLOSED;
		};
	}

	/**
	 * Removes a connection and releases all its memory. Has no effect if it was removed.
	 * @param memory memory of the connection
	 */
	public void remove(ClientMemory memory) {
		if (memory.closed) {
			return;
		}
		memory.closing = true;
		memory.closed = true;
		memory.group.members.remove(memory);
		this.waiting.remove(memory);
		memory.wantedBytes = 0;
		release(memory, memory.smallBytes);
		releaseLarge(memory, memory.largeBytes);
	}

	private void close(ClientMemory memory, CloseCause cause) {
		this.closedCounts.merge(cause, 1L, Long::sum);
		memory.closing = true;
		// The owner releases its buffers before others are granted their memory.
		memory.owner.close(cause);
		remove(memory);
	}

	/**
	 * Sets the state of a connection.
	 * @param memory memory of the connection
	 * @param phase the state
	 */
	public void enter(ClientMemory memory, Phase phase) {
		memory.enter(phase, now());
	}

	/**
	 * Records received bytes.
	 * @param memory memory of the connection
	 * @param bytes number of bytes
	 */
	public void recordReceived(ClientMemory memory, long bytes) {
		memory.addProgress(bytes, now());
	}

	/**
	 * Reserves memory for heads, small bodies and other small data. If there is too
	 * little, connections are closed that hold much and make no progress.
	 * @param memory memory of the connection
	 * @param bytes number of bytes
	 * @return false if the request must be refused; nothing is reserved in that case
	 */
	public boolean reserve(ClientMemory memory, long bytes) {
		if (memory.closing) {
			return false;
		}
		while (this.smallBytes + bytes > this.maxSmallBytes) {
			ClientMemory victim = findLargestHolder(memory, true, false);
			if (victim == null) {
				this.refusedCount++;
				return false;
			}
			close(victim, CloseCause.MEMORY);
		}
		add(memory, bytes);
		return true;
	}

	/**
	 * Counts memory that is already used, for example by a response. While there is too
	 * little, the connections that hold most are closed, but none whose request runs or
	 * whose response is read.
	 * @param memory memory of the connection
	 * @param bytes number of bytes
	 */
	public void charge(ClientMemory memory, long bytes) {
		if (memory.closing) {
			return;
		}
		add(memory, bytes);
		while (this.smallBytes > this.maxSmallBytes) {
			ClientMemory victim = findLargestHolder(null, true, false);
			if (victim == null) {
				victim = findLargestHolder(null, false, false);
			}
			if (victim == null) {
				return;
			}
			close(victim, CloseCause.MEMORY);
		}
	}

	private void add(ClientMemory memory, long bytes) {
		memory.smallBytes += bytes;
		this.smallBytes += bytes;
	}

	/**
	 * Releases memory that {@link #reserve} or {@link #charge} has counted.
	 * @param memory memory of the connection
	 * @param bytes number of bytes; more than are counted release all
	 */
	public void release(ClientMemory memory, long bytes) {
		long released = Math.min(bytes, memory.smallBytes);
		memory.smallBytes -= released;
		this.smallBytes -= released;
	}

	private @Nullable ClientMemory findLargestHolder(@Nullable ClientMemory except, boolean stalledOnly,
			boolean large) {
		ClientMemory found = null;
		for (ConnectionGroup group : this.groups) {
			for (ClientMemory memory : group.members) {
				long bytes = held(memory, large);
				boolean closable = isStalled(memory) || (!stalledOnly && memory.phase != Phase.ANSWERING);
				if (memory == except || memory.closing || bytes == 0 || !closable) {
					continue;
				}
				if (found == null || bytes > held(found, large)
						|| (bytes == held(found, large) && memory.progressNanos - found.progressNanos < 0)) {
					found = memory;
				}
			}
		}
		return found;
	}

	private static long held(ClientMemory memory, boolean large) {
		return large ? memory.largeBytes : memory.smallBytes;
	}

	private boolean isStalled(ClientMemory memory) {
		return memory.stalledSinceNanos != 0 && now() - memory.stalledSinceNanos >= STALL_NANOS;
	}

	/**
	 * Reserves memory for a large body.
	 * @param memory memory of the connection
	 * @param bytes size of the body in bytes
	 * @return true if it is reserved. Otherwise, if the connection is waiting, reading
	 * must pause until the owner is told the decision; if it isn't, the request must be
	 * refused
	 */
	public boolean reserveLarge(ClientMemory memory, long bytes) {
		if (memory.closing) {
			return false;
		}
		if (this.waiting.isEmpty() && this.largeBytes + bytes <= this.maxLargeBytes) {
			grant(memory, bytes);
			return true;
		}
		if (bytes > this.maxLargeBytes || this.waiting.size() >= MAX_WAITING) {
			this.refusedCount++;
			return false;
		}
		memory.wantedBytes = bytes;
		memory.wantedSinceNanos = now();
		this.waiting.addLast(memory);
		return false;
	}

	private void grant(ClientMemory memory, long bytes) {
		memory.largeBytes += bytes;
		this.largeBytes += bytes;
	}

	/**
	 * Releases the memory of a large body.
	 * @param memory memory of the connection
	 * @param bytes number of bytes; more than are reserved release all
	 */
	public void releaseLarge(ClientMemory memory, long bytes) {
		long released = Math.min(bytes, memory.largeBytes);
		memory.largeBytes -= released;
		this.largeBytes -= released;
		admitWaiting();
	}

	private void admitWaiting() {
		ClientMemory next = this.waiting.peekFirst();
		while (next != null && this.largeBytes + next.wantedBytes <= this.maxLargeBytes) {
			this.waiting.removeFirst();
			grant(next, next.wantedBytes);
			decide(next, true);
			next = this.waiting.peekFirst();
		}
	}

	private void decide(ClientMemory memory, boolean granted) {
		long waitedNanos = now() - memory.wantedSinceNanos;
		memory.wantedBytes = 0;
		memory.phaseSinceNanos += waitedNanos;
		memory.progressNanos = now();
		memory.stalledSinceNanos = 0;
		memory.owner.largeBodyDecided(granted);
	}

	/**
	 * Closes connections that exceed a time limit, and decides on bodies that wait. Must
	 * be called regularly, at least twice a second.
	 */
	public void check() {
		long now = now();
		long elapsedNanos = Math.max(1, now - this.lastCheckNanos);
		this.lastCheckNanos = now;
		ProgressLimits current = this.limits.get();
		for (ConnectionGroup group : this.groups) {
			for (ClientMemory memory : List.copyOf(group.members)) {
				CloseCause cause = memory.closing ? null : update(memory, current, elapsedNanos, now);
				if (cause != null) {
					close(memory, cause);
				}
			}
		}
		refuseOverdue(now);
		ClientMemory first = this.waiting.peekFirst();
		while (first != null && now - first.wantedSinceNanos >= STALL_NANOS) {
			ClientMemory victim = findLargestHolder(null, true, true);
			if (victim == null) {
				return;
			}
			close(victim, CloseCause.MEMORY);
			first = this.waiting.peekFirst();
		}
	}

	private void refuseOverdue(long now) {
		ClientMemory first = this.waiting.peekFirst();
		while (first != null && now - first.wantedSinceNanos >= MAX_WAIT_NANOS) {
			this.waiting.removeFirst();
			this.refusedCount++;
			decide(first, false);
			first = this.waiting.peekFirst();
		}
	}

	private @Nullable CloseCause update(ClientMemory memory, ProgressLimits current, long elapsedNanos, long now) {
		long received = memory.recentBytes;
		memory.recentBytes = 0;
		if (memory.isWaiting()) {
			return null;
		}
		if (memory.phase == Phase.ANSWERING) {
			return updateUnread(memory, current, now);
		}
		boolean slow = received * TimeUnit.SECONDS.toNanos(1) < ProgressLimits.MIN_BODY_BYTES_PER_S * elapsedNanos;
		setStalled(memory, slow && memory.phase != Phase.IDLE, now);
		long sincePhase = now - memory.phaseSinceNanos;
		if (memory.phase == Phase.HEAD && sincePhase > current.headNanos()) {
			return CloseCause.HEAD_TIMEOUT;
		}
		if (memory.phase == Phase.BODY && (now - memory.progressNanos > current.idleNanos()
				|| sincePhase > current.bodyNanos(memory.phaseBytes))) {
			return CloseCause.BODY_TIMEOUT;
		}
		return null;
	}

	private static @Nullable CloseCause updateUnread(ClientMemory memory, ProgressLimits current, long now) {
		long unsent = memory.owner.unsentBytes();
		boolean stalled = unsent > 0 && unsent == memory.unsentBytes;
		if (!stalled) {
			memory.progressNanos = now;
		}
		memory.unsentBytes = unsent;
		setStalled(memory, stalled, now);
		return (stalled && now - memory.progressNanos > current.idleNanos()) ? CloseCause.UNREAD_RESPONSE : null;
	}

	private static void setStalled(ClientMemory memory, boolean stalled, long now) {
		if (!stalled) {
			memory.stalledSinceNanos = 0;
		}
		else if (memory.stalledSinceNanos == 0) {
			memory.stalledSinceNanos = (now != 0) ? now : 1;
		}
	}

	/**
	 * Returns the memory that is held for clients.
	 * @return number of bytes
	 */
	public long heldBytes() {
		return this.smallBytes + this.largeBytes;
	}

	/**
	 * Returns the number of requests that were refused for lack of memory.
	 * @return number since the start
	 */
	public long refusedCount() {
		return this.refusedCount;
	}

	/**
	 * Returns the number of connections that were closed.
	 * @param cause cause
	 * @return number since the start
	 */
	public long closedCount(CloseCause cause) {
		return this.closedCounts.getOrDefault(cause, 0L);
	}

	/**
	 * Returns the number of bodies that wait for memory.
	 * @return number of bodies
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	private long now() {
		return this.nanoClock.getAsLong();
	}

	/**
	 * Order in which connections of a full port are closed.
	 */
	private enum Rank {

		STALLED, IDLE, UNUSED, SLOW, RECEIVING, NEVER_CLOSED

	}

}

package org.hemlockgw.core.limit;

/**
 * Memory that is held for one client's connection, and the progress of the connection.
 */
public final class ClientMemory {

	final Owner owner;

	final ConnectionGroup group;

	Phase phase = Phase.NEW;

	long phaseSinceNanos;

	long progressNanos;

	/** Bytes received since the phase began. */
	long phaseBytes;

	/** Bytes received since the last check. */
	long recentBytes;

	/** Time since which the client makes too little progress; 0 while it makes enough. */
	long stalledSinceNanos;

	long unsentBytes;

	long smallBytes;

	long largeBytes;

	/** Size of the memory that is waited for. */
	long wantedBytes;

	long wantedSinceNanos;

	boolean closing;

	boolean closed;

	ClientMemory(Owner owner, ConnectionGroup group, long nowNanos) {
		this.owner = owner;
		this.group = group;
		this.phaseSinceNanos = nowNanos;
		this.progressNanos = nowNanos;
	}

	/**
	 * Returns whether the connection waits for memory.
	 * @return whether reading must pause
	 */
	public boolean isWaiting() {
		return this.wantedBytes > 0;
	}

	/**
	 * Returns the state of the connection.
	 * @return the state
	 */
	public Phase phase() {
		return this.phase;
	}

	long heldBytes() {
		return this.smallBytes + this.largeBytes;
	}

	void enter(Phase next, long nowNanos) {
		this.phase = next;
		this.phaseSinceNanos = nowNanos;
		this.progressNanos = nowNanos;
		this.phaseBytes = 0;
		this.unsentBytes = 0;
		this.stalledSinceNanos = 0;
	}

	void addProgress(long bytes, long nowNanos) {
		this.phaseBytes += bytes;
		this.recentBytes += bytes;
		this.progressNanos = nowNanos;
	}

	/**
	 * State of a connection.
	 */
	public enum Phase {

		/** Nothing was received since the connection was accepted. */
		NEW,

		/** A request was answered and no other one has begun. */
		IDLE,

		/** The head of a request is being received. */
		HEAD,

		/** The body of a request is being received. */
		BODY,

		/** A request waits for its response, or its response is being sent. */
		ANSWERING

	}

	/**
	 * Connection of the client.
	 */
	public interface Owner {

		/**
		 * Releases all buffers of the connection and closes it.
		 * @param cause cause
		 */
		void close(CloseCause cause);

		/**
		 * Answers a request for memory that had to wait.
		 * @param granted whether the memory is reserved now; otherwise the request must
		 * be refused
		 */
		void largeBodyDecided(boolean granted);

		/**
		 * Returns a number that changes while the client reads its response.
		 * @return number of bytes that the client has not read; 0 if there are none
		 */
		long unsentBytes();

	}

}

package org.hemlockgw.gateway.net;

import org.jspecify.annotations.Nullable;

/**
 * A request that waits for its answer.
 */
public final class HttpCall {

	private @Nullable HttpClientConnection connection;

	private boolean ended;

	private boolean paused;

	HttpCall() {
	}

	/**
	 * Gives up the request and closes its connection. The listener hears nothing more.
	 */
	public void abort() {
		this.ended = true;
		if (this.connection != null) {
			this.connection.close();
		}
	}

	/**
	 * Gives up a request that was not answered in time, like {@link #abort()}. Kept
	 * connections to the same server that are as old are closed too: a network that drops
	 * connections without a word seldom drops one.
	 */
	public void abortOnTimeout() {
		this.ended = true;
		if (this.connection != null) {
			this.connection.closeOnTimeout();
		}
	}

	/**
	 * Stops or continues reading the answer.
	 * @param pause true to stop
	 */
	public void setPaused(boolean pause) {
		this.paused = pause;
		if (this.connection != null) {
			this.connection.setAutoRead(!pause);
		}
	}

	void attach(HttpClientConnection handler) {
		this.connection = handler;
		if (this.paused) {
			handler.setAutoRead(false);
		}
	}

	void markEnded() {
		this.ended = true;
		this.connection = null;
	}

	boolean hasEnded() {
		return this.ended;
	}

}

package org.hemlockgw.gateway.net;

import org.jspecify.annotations.Nullable;

/**
 * Handle of an HTTP request whose response is pending.
 */
public final class HttpCall {

	private @Nullable HttpClientConnection connection;

	private boolean ended;

	private boolean paused;

	HttpCall() {
	}

	/**
	 * Aborts the request and closes its connection. The listener is not called again.
	 */
	public void abort() {
		this.ended = true;
		if (this.connection != null) {
			this.connection.close();
		}
	}

	/**
	 * Aborts a request that timed out, like {@link #abort()}. If nothing of the response
	 * was received, this also closes the idle connections to the same server that have
	 * not been used since the request was sent: a network that drops a connection
	 * silently usually drops others too.
	 */
	public void abortOnTimeout() {
		this.ended = true;
		if (this.connection != null) {
			this.connection.closeOnTimeout();
		}
	}

	/**
	 * Pauses or resumes reading the response.
	 * @param paused whether to pause
	 */
	public void setPaused(boolean paused) {
		this.paused = paused;
		if (this.connection != null) {
			this.connection.setAutoRead(!paused);
		}
	}

	void attach(HttpClientConnection newConnection) {
		this.connection = newConnection;
		if (this.paused) {
			newConnection.setAutoRead(false);
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

package org.hemlockgw.remote;

import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.io.CloseMode;
import org.jspecify.annotations.Nullable;

/**
 * Closes the connection of a request that its caller has given up, which ends a blocked
 * read.
 */
final class Abort {

	private @Nullable HttpClientConnection connection;

	private boolean aborted;

	synchronized void watch(HttpClientConnection watched) {
		this.connection = watched;
		if (this.aborted) {
			watched.close(CloseMode.IMMEDIATE);
		}
	}

	/**
	 * Stops watching.
	 * @return whether the connection was left alone
	 */
	synchronized boolean release() {
		this.connection = null;
		return !this.aborted;
	}

	synchronized void abort() {
		this.aborted = true;
		if (this.connection != null) {
			this.connection.close(CloseMode.IMMEDIATE);
		}
	}

	synchronized boolean aborted() {
		return this.aborted;
	}

}

package org.hemlockgw.gateway;

import java.io.IOException;
import java.util.function.LongSupplier;

import org.hemlockgw.core.account.ProofSource;
import org.hemlockgw.core.route.RoutingTable;

/**
 * Source of versions of the routing configuration.
 */
public interface ConfigurationSource {

	/**
	 * Starts watching for versions.
	 * @param clock clock in nanoseconds by which the calls to the store are dated
	 * @param listener receives versions and confirmations on the event loop
	 */
	void watch(LongSupplier clock, Listener listener);

	/**
	 * Requests changes now, in addition to the regular calls, and without waiting for
	 * one.
	 */
	void refresh();

	/**
	 * Parses a configuration document that another daemon has received from its source.
	 * @param document the document
	 * @return its content
	 * @throws IOException if the document is invalid; the message contains no API key
	 */
	RoutingTable parse(byte[] document) throws IOException;

	/**
	 * Receives versions of the configuration.
	 */
	interface Listener {

		/**
		 * Called with the newest version and each later one; versions may repeat or
		 * arrive out of order.
		 * @param version the version
		 * @param document its document
		 */
		void changed(RoutingTable version, byte[] document);

		/**
		 * Called when the store has shown that there is no valid version that has not
		 * been passed to {@link #changed} and was acknowledged before a time.
		 * @param sentNanos time at which the call to the store was sent
		 * @param source kind of the call
		 */
		void confirmed(long sentNanos, ProofSource source);

	}

}

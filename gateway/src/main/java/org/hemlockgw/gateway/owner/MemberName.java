package org.hemlockgw.gateway.owner;

import org.jspecify.annotations.Nullable;

/**
 * Name of a daemon in the store's member group. It contains the address at which other
 * daemons reach it.
 *
 * @param peerAddress IP address and port for connections from other daemons
 * @param dataCentre name of its data centre
 * @param incarnation identifier that differs for each start
 */
public record MemberName(String peerAddress, String dataCentre, String incarnation) {

	public String text() {
		return this.peerAddress + "/" + this.dataCentre + "/" + this.incarnation;
	}

	/**
	 * Parses a name.
	 * @param text the name as returned by {@link #text()}
	 * @return the name, or null if it is malformed
	 */
	public static @Nullable MemberName parse(String text) {
		String[] parts = text.split("/", -1);
		return (parts.length == 3) ? new MemberName(parts[0], parts[1], parts[2]) : null;
	}

}

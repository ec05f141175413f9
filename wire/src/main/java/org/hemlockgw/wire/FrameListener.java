package org.hemlockgw.wire;

import org.hemlockgw.core.common.Incarnation;

/**
 * Learns what peers say about themselves on their frames.
 */
@FunctionalInterface
public interface FrameListener {

	/**
	 * Called when a connection shows a sender or a configuration version for the first
	 * time. Must not block.
	 * @param sender incarnation of the peer
	 * @param configurationVersion configuration version in force at the peer
	 */
	void seen(Incarnation sender, long configurationVersion);

}

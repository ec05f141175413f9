package org.hemlockgw.gateway.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

import org.hemlockgw.gateway.telemetry.MemoryExhaustion;

/**
 * Closes a channel when a write to it fails. Otherwise a later part could be written, and
 * the receiver would take data with a part missing for complete.
 */
public final class FailedWrites implements ChannelFutureListener {

	/** The only instance; it has no state. */
	public static final FailedWrites CLOSE = new FailedWrites();

	private FailedWrites() {
	}

	@Override
	public void operationComplete(ChannelFuture written) {
		if (!written.isSuccess()) {
			MemoryExhaustion.exitIfCause(written.cause());
			written.channel().close();
		}
	}

}

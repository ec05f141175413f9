package org.hemlockgw.gateway.peer;

import java.io.IOException;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PeerFrames}.
 */
class PeerFramesTests {

	// Guards against a connection that stays open although a frame was lost.
	@Test
	void failedWriteClosesConnection() {
		EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
			@Override
			public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
				ReferenceCountUtil.release(msg);
				promise.setFailure(new IOException("not written"));
			}
		});
		PeerFrames.write(channel, 1, new PeerMessage.Hello("d1"));
		channel.runPendingTasks();
		assertThat(channel.isOpen()).isFalse();
	}

}

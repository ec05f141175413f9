package org.hemlockgw.gateway.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

import org.hemlockgw.gateway.net.FailedWrites;

/**
 * Reads and writes frames with a length prefix of four bytes.
 */
final class PeerFrames {

	/**
	 * Maximum size of a frame in bytes; the chain of the longest programs takes less than
	 * 1 MiB.
	 */
	static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	private PeerFrames() {
	}

	static void addDecoder(ChannelPipeline pipeline) {
		pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
	}

	static ChannelFuture write(Channel channel, long correlation, PeerMessage message) {
		byte[] bytes = PeerCodec.encode(new PeerCodec.Frame(correlation, message));
		ByteBuf length = channel.alloc().buffer(LENGTH_BYTES).writeInt(bytes.length);
		return channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(bytes)))
			.addListener(FailedWrites.CLOSE);
	}

	static byte[] readBytes(ByteBuf frame) {
		byte[] bytes = new byte[frame.readableBytes()];
		frame.readBytes(bytes);
		return bytes;
	}

}

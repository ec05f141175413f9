package org.hemlockgw.wire;

import java.util.function.Supplier;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

import org.hemlockgw.generated.peer.Frame;

/**
 * Length-prefixed protobuf frames on a TCP connection.
 */
final class FramePipeline extends ChannelInitializer<SocketChannel> {

	/**
	 * A history of 390,000 tokens is about 2 MB of text; this leaves room for texts of
	 * several bytes per character.
	 */
	static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	private final Supplier<ChannelHandler> handler;

	private final int maxFrameBytes;

	FramePipeline(Supplier<ChannelHandler> handler, int maxFrameBytes) {
		this.handler = handler;
		this.maxFrameBytes = maxFrameBytes;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.addLast(new LengthFieldBasedFrameDecoder(this.maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
		pipeline.addLast(new ProtobufEncoder());
		pipeline.addLast(this.handler.get());
	}

}

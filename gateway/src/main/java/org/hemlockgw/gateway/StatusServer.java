package org.hemlockgw.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.limit.ClientMemory;
import org.hemlockgw.core.limit.CloseCause;
import org.hemlockgw.core.limit.ConnectionGroup;
import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.gateway.net.CountedHeaders;
import org.hemlockgw.gateway.net.FailedWrites;
import org.hemlockgw.gateway.telemetry.MemoryExhaustion;

/**
 * HTTP server that responds to readiness checks or metrics requests with a short text.
 */
final class StatusServer {

	private static final int MAX_REQUEST_LINE_BYTES = 1024;

	private static final int MAX_HEADER_BYTES = 4096;

	private static final int MAX_HEADER_FIELDS = 64;

	private static final int MAX_CHUNK_BYTES = 1024;

	/**
	 * Maximum number of connections; a few balancers and collectors use one each. When it
	 * is reached, another connection is closed.
	 */
	private static final int MAX_CONNECTIONS = 32;

	private StatusServer() {
	}

	static Channel start(InetSocketAddress address, EventLoop loop, MemoryBudget budget,
			Supplier<StatusResponse> supplier) {
		ConnectionGroup group = new ConnectionGroup(MAX_CONNECTIONS);
		budget.add(group);
		return new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					Handler handler = new Handler(channel, budget, supplier);
					ClientMemory memory = budget.open(group, handler);
					if (memory == null) {
						channel.close();
						return;
					}
					handler.memory = memory;
					channel.pipeline()
						.addLast(new HttpServerCodec(CountedHeaders
							.decoderConfig(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_HEADER_FIELDS)
							.setMaxChunkSize(MAX_CHUNK_BYTES)), handler);
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Responds to the requests of one connection. Readiness checks have no body; a
	 * connection that sends one is closed after the response.
	 */
	private static final class Handler extends SimpleChannelInboundHandler<HttpObject> implements ClientMemory.Owner {

		private final Channel channel;

		private final MemoryBudget budget;

		private final Supplier<StatusResponse> supplier;

		private @Nullable ClientMemory memory;

		private boolean closing;

		Handler(Channel channel, MemoryBudget budget, Supplier<StatusResponse> supplier) {
			this.channel = channel;
			this.budget = budget;
			this.supplier = supplier;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
			if (part.decoderResult().isFailure()) {
				ctx.close();
				return;
			}
			if (!(part instanceof HttpRequest request) || this.closing) {
				return;
			}
			// A client that sends requests but reads no responses.
			if (!ctx.channel().isWritable()) {
				ctx.close();
				return;
			}
			respond(ctx, request);
		}

		private void respond(ChannelHandlerContext ctx, HttpRequest request) {
			enter(ClientMemory.Phase.ANSWERING);
			StatusResponse current = this.supplier.get();
			byte[] body = current.body().getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(current.code()), Unpooled.wrappedBuffer(body));
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
			boolean hasBody = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
			this.closing = hasBody || !HttpUtil.isKeepAlive(request);
			if (this.closing) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			ctx.writeAndFlush(response).addListener(FailedWrites.CLOSE).addListener((sent) -> {
				enter(ClientMemory.Phase.IDLE);
				if (this.closing) {
					ctx.close();
				}
			});
		}

		private void enter(ClientMemory.Phase phase) {
			if (this.memory != null) {
				this.budget.enter(this.memory, phase);
			}
		}

		@Override
		public void close(CloseCause cause) {
			this.channel.close();
		}

		@Override
		public void largeBodyDecided(boolean granted) {
			throw new IllegalStateException("requests have no body");
		}

		@Override
		public long unsentBytes() {
			ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
			return (buffer != null) ? buffer.totalPendingWriteBytes() - buffer.currentProgress() : 0;
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (this.memory != null) {
				this.budget.remove(this.memory);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			MemoryExhaustion.exitIfCause(cause);
			ctx.close();
		}

	}

	/**
	 * Response to a readiness check or a metrics request.
	 *
	 * @param code HTTP status code
	 * @param body response body as plain text
	 */
	record StatusResponse(int code, String body) {

	}

}

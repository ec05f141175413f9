package org.hemlockgw.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server that responds to readiness checks or metrics requests with a short text.
 */
final class StatusServer {

	/**
	 * Maximum size of a request in bytes; readiness and metrics requests have no body.
	 */
	private static final int MAX_REQUEST_BYTES = 4096;

	private StatusServer() {
	}

	static Channel start(InetSocketAddress address, EventLoop loop, Supplier<StatusResponse> supplier) {
		return new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
								new Handler(supplier));
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Supplier<StatusResponse> supplier;

		Handler(Supplier<StatusResponse> supplier) {
			this.supplier = supplier;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			StatusResponse current = this.supplier.get();
			byte[] body = current.body().getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(current.code()), Unpooled.wrappedBuffer(body));
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
			if (HttpUtil.isKeepAlive(request)) {
				ctx.writeAndFlush(response);
				return;
			}
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
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

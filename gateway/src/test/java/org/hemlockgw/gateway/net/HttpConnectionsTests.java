package org.hemlockgw.gateway.net;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link HttpConnections}.
 */
@Timeout(20)
class HttpConnectionsTests {

	/** Number of idle connections before the request under test. */
	private static final int IDLE_CONNECTIONS = 3;

	/** Timeout of each wait in seconds. */
	private static final long WAIT_TIMEOUT_S = 5;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

	private final Channel serverChannel = new ServerBootstrap().group(this.loop)
		.channel(NioServerSocketChannel.class)
		.childHandler(new ChannelInitializer<SocketChannel>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1000), new TestServer());
			}
		})
		.bind("127.0.0.1", 0)
		.syncUninterruptibly()
		.channel();

	private final String address = "127.0.0.1:" + ((InetSocketAddress) this.serverChannel.localAddress()).getPort();

	private volatile long nanos;

	private final HttpConnections connections = new HttpConnections(this.loop, 500, () -> this.nanos);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	// Guards against repeated timeouts after a network has dropped all idle connections,
	// and against closing connections to a server that is only slow.
	@ParameterizedTest
	@CsvSource({ "/silent, true, 0", "/silent, false, 2", "/begun, true, 2", "/whole, true, 3" })
	void timeoutClosesConnectionsIdleSinceTheRequest(String path, boolean timedOut, int reusable) throws Exception {
		sendConcurrently(IDLE_CONNECTIONS);
		this.nanos++;
		HttpCall call = send(path);
		if (path.equals("/silent")) {
			this.nanos++;
		}
		else {
			awaitEvents(path.equals("/whole") ? "complete" : "head", 1);
		}
		runOnLoop(timedOut ? call::abortOnTimeout : call::abort);
		this.nanos++;
		sendConcurrently(IDLE_CONNECTIONS);
		assertThat(this.connections.openedCount()).isEqualTo(2L * IDLE_CONNECTIONS - reusable);
	}

	// Sent one after another, the requests would reuse a single connection.
	private void sendConcurrently(int count) throws Exception {
		runOnLoop(() -> {
			for (int i = 0; i < count; i++) {
				sendOnLoop("/whole");
			}
		});
		awaitEvents("complete", count);
	}

	private HttpCall send(String path) throws Exception {
		return this.loop.submit(() -> sendOnLoop(path)).get(WAIT_TIMEOUT_S, TimeUnit.SECONDS);
	}

	private HttpCall sendOnLoop(String path) {
		HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
		return this.connections.send(this.address, head, Unpooled.EMPTY_BUFFER, new HttpResponseListener() {
			@Override
			public boolean acceptHead(HttpResponse response, boolean reused) {
				if (path.equals("/begun")) {
					HttpConnectionsTests.this.events.add("head");
				}
				return true;
			}

			@Override
			public void contentReceived(ByteBuf part) {
			}

			@Override
			public void completed() {
				HttpConnectionsTests.this.events.add("complete");
			}

			@Override
			public void failed(boolean sent, String cause) {
				HttpConnectionsTests.this.events.add("failed: " + cause);
			}
		});
	}

	private void runOnLoop(Runnable action) throws Exception {
		this.loop.submit(action).get(WAIT_TIMEOUT_S, TimeUnit.SECONDS);
	}

	private void awaitEvents(String event, int count) throws InterruptedException {
		for (int i = 0; i < count; i++) {
			assertThat(this.events.poll(WAIT_TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(event);
		}
	}

	private static final class TestServer extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			if (request.uri().equals("/whole")) {
				DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
						HttpResponseStatus.OK);
				response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
				ctx.writeAndFlush(response);
			}
			else if (request.uri().equals("/begun")) {
				DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
				head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 10);
				ctx.writeAndFlush(head);
			}
		}

	}

}

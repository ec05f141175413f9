package org.hemlockgw.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.core.limit.ProgressLimits;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PeerLinks} and {@link PeerListener}.
 */
@Timeout(20)
class PeerLinksTests {

	/** Timeout of each wait in seconds. */
	private static final long TIMEOUT_S = 5;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

	private static MemoryBudget newBudget() {
		return new MemoryBudget(1 << 20, 1 << 20, System::nanoTime,
				() -> ProgressLimits.of(Duration.ofSeconds(3), Duration.ofSeconds(15)));
	}

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	// Guards against requests that never complete when a daemon does not reply, sends
	// only some of the replies, or refuses the connection.
	@ParameterizedTest
	@CsvSource({ "whole, 5000, ok stored", "nothing, 200, failed", "part, 5000, ok failed", "refused, 5000, failed" })
	void requestCompletesForAnyPeerBehaviour(String behaviour, long timeoutMs, String expected) throws Exception {
		Channel listener = PeerListener.start(new InetSocketAddress("127.0.0.1", 0), this.loop, newBudget(),
				new PeerService() {
					@Override
					public void handle(String sender, PeerMessage message, Consumer<PeerMessage> reply) {
						if (!behaviour.equals("nothing")) {
							reply.accept(new PeerMessage.TurnOpened(TurnStatus.OK, false, true, new byte[0]));
						}
						if (behaviour.equals("whole")) {
							reply.accept(new PeerMessage.ReservationStored(true));
						}
					}

					@Override
					public void connectionLost(String sender) {
					}
				});
		int port = ((InetSocketAddress) listener.localAddress()).getPort();
		if (behaviour.equals("refused")) {
			listener.close().syncUninterruptibly();
		}
		PeerLinks links = new PeerLinks(this.loop, "self", System::nanoTime);
		this.loop.execute(() -> links.request("127.0.0.1:" + port,
				new PeerMessage.OpenTurn("t", "p", null, 100, 10, 1000, 1000), timeoutMs, new ReplyListener() {
					@Override
					public void onReply(PeerMessage message) {
						PeerLinksTests.this.received.add((message instanceof PeerMessage.TurnOpened) ? "ok" : "stored");
					}

					@Override
					public void onFailure(String cause) {
						PeerLinksTests.this.received.add("failed");
					}
				}));
		for (String next : expected.split(" ")) {
			assertThat(this.received.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(next);
		}
	}

	// Guards against a permit that is lost to its account because its grant arrives after
	// the timeout.
	@Test
	void lateReplyReachesListener() throws Exception {
		Channel listener = PeerListener.start(new InetSocketAddress("127.0.0.1", 0), this.loop, newBudget(),
				new PeerService() {
					@Override
					public void handle(String sender, PeerMessage message, Consumer<PeerMessage> reply) {
						PeerLinksTests.this.loop.schedule(() -> reply.accept(new PeerMessage.ReservationStored(true)),
								300, TimeUnit.MILLISECONDS);
					}

					@Override
					public void connectionLost(String sender) {
					}
				});
		int port = ((InetSocketAddress) listener.localAddress()).getPort();
		PeerLinks links = new PeerLinks(this.loop, "self", System::nanoTime);
		this.loop.execute(() -> links.request("127.0.0.1:" + port,
				new PeerMessage.OpenTurn("t", "p", null, 100, 10, 1000, 1000), 100, new ReplyListener() {
					@Override
					public void onReply(PeerMessage message) {
						PeerLinksTests.this.received.add("ok");
					}

					@Override
					public void onFailure(String cause) {
						PeerLinksTests.this.received.add("failed");
					}

					@Override
					public boolean acceptsLateReply() {
						return true;
					}

					@Override
					public void onLateReply(PeerMessage message) {
						PeerLinksTests.this.received.add("late");
					}
				}));
		assertThat(this.received.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo("failed");
		assertThat(this.received.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo("late");
	}

}

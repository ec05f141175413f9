package org.hemlockgw.gateway.entry;

import java.lang.reflect.Proxy;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.core.account.AccountScope;
import org.hemlockgw.core.retry.CrashReport;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.CrashLog;
import org.hemlockgw.gateway.net.HttpConnections;
import org.hemlockgw.gateway.owner.MemberName;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link CrashingRequests}.
 */
class CrashingRequestsTests {

	private static final Instant NOW = Instant.ofEpochSecond(1_796_000_000);

	private static final int LOSSES = 3;

	private final EventLoop loop = new DefaultEventLoop();

	private final List<Consumer<Collection<CrashReport>>> watchers = new ArrayList<>();

	private final RequestContent content = new RequestContent(
			new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/page/1"), new byte[0],
			AccountScope.DISABLED);

	private final CrashingRequests requests = newRequests();

	@AfterEach
	void stop() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	// Guards against content that is quarantined although this daemon has passed on a
	// response to it, because the store shows the last loss before the other daemon's
	// message about it arrives.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void recentContentIsNotQuarantined(boolean storeFirst) {
		this.requests.start();
		this.watchers.forEach((watcher) -> watcher.accept(List.of()));
		this.requests.recordProcessed(this.content);
		List<CrashReport> reports = new ArrayList<>();
		for (int i = 0; i < LOSSES; i++) {
			CrashReport report = new CrashReport(this.content.digest(), "s1", 0, NOW.minusSeconds(10L * (LOSSES - i)));
			reports.add(report);
			if (storeFirst) {
				this.watchers.forEach((watcher) -> watcher.accept(List.copyOf(reports)));
			}
			this.requests.handle(new PeerMessage.ServerLost(report.digest(), this.content.hash(), report.engine(),
					report.startedAtMs(), report.time().toEpochMilli()));
		}
		assertThat(this.requests.isQuarantined(this.content)).isFalse();
	}

	private CrashingRequests newRequests() {
		PeerLinks links = new PeerLinks(this.loop, "self", System::nanoTime);
		// The store is not called before the membership starts.
		StateStore store = (StateStore) Proxy.newProxyInstance(StateStore.class.getClassLoader(),
				new Class<?>[] { StateStore.class }, (proxy, method, arguments) -> {
					throw new UnsupportedOperationException(method.getName());
				});
		Membership membership = new Membership(this.loop, store, () -> NOW, System::nanoTime,
				new MemberName("127.0.0.1:1", "a", "x"), links, () -> {
				});
		return new CrashingRequests(this.loop, () -> NOW, System::nanoTime, membership, links, new StoredReports(),
				new HttpConnections(this.loop, 100, System::nanoTime));
	}

	private final class StoredReports implements CrashLog {

		@Override
		public void watch(Consumer<Collection<CrashReport>> listener) {
			CrashingRequestsTests.this.watchers.add(listener);
		}

		@Override
		public CompletableFuture<Void> append(List<CrashReport> reports) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Void> delete(List<CrashReport> reports) {
			return new CompletableFuture<>();
		}

	}

}

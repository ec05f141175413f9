package org.hemlockgw.gateway.entry;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.account.ConfigurationProof;
import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.RecordPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.owner.MemberName;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.owner.ProgramOwner;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.TurnStatus;
import org.hemlockgw.gateway.telemetry.Metrics;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link TurnSession}.
 */
@Timeout(20)
class TurnSessionTests {

	private final EventLoop loop = new DefaultEventLoop();

	private final List<String> events = new ArrayList<>();

	@AfterEach
	void stop() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	// Guards against "not run" for a turn that may be running, because another owner
	// cannot continue it.
	@ParameterizedTest
	@CsvSource({ "OK, UNCERTAIN, opened", "OK, NO_SUCH_TURN, opened aborted", "OK, BUDGET_SPENT, opened aborted",
			"NOT_OWNER, UNCERTAIN, 503", "NOT_OWNER, NO_SUCH_TURN, 404", "NOT_OWNER, BUDGET_SPENT, 402" })
	void turnThatMayBeRunningIsNotRefused(TurnStatus first, TurnStatus second, String expected) throws Exception {
		this.loop.submit(() -> {
			TurnSession session = newSession();
			session.onReply(new PeerMessage.TurnOpened(first, false, true, new byte[0]));
			session.onReply(PeerMessage.TurnOpened.refused(second));
			assertThat(String.join(" ", this.events)).isEqualTo(expected);
			session.settle(0);
		}).get();
	}

	// Guards against turns that run while their reservation waits for the store.
	@ParameterizedTest
	@CsvSource({ "true, true, opened reserved", "false, true, opened reserved", "false, false, ''" })
	void turnStartsOnceStoreIsAvailable(boolean available, boolean stored, String expected) throws Exception {
		this.loop.submit(() -> {
			TurnSession session = newSession();
			session.onReply(new PeerMessage.TurnOpened(TurnStatus.OK, false, available, new byte[0]));
			assertThat(this.events).isEqualTo(available ? List.of("opened") : List.of());
			session.onReply(new PeerMessage.ReservationStored(stored));
			assertThat(String.join(" ", this.events)).isEqualTo(expected);
			session.settle(0);
		}).get();
	}

	// A session uses only some of the services.
	@SuppressWarnings("NullAway")
	private TurnSession newSession() {
		MemberName self = new MemberName("127.0.0.1:1", "a", "x");
		PeerLinks links = new PeerLinks(this.loop, self.text(), System::nanoTime);
		Membership membership = new Membership(this.loop, new SilentStore(), InstantSource.system(), System::nanoTime,
				self, links, () -> {
				});
		OwnerClient owner = new OwnerClient(membership, new ProgramOwner(membership, links), links);
		Services services = new Services(this.loop, InstantSource.system(), System::nanoTime, null, () -> null,
				new Shutdown(System::nanoTime), membership, owner, null, null, null, null, null, new Metrics(),
				new ConfigurationProof(null, System::nanoTime, InstantSource.system()), null);
		return new TurnSession(services, new PeerMessage.OpenTurn("t", "p", null, 1000, 10, 60_000, 3000),
				new Deadline(System::nanoTime, 3000), new RecordingListener(this.events::add));
	}

	/**
	 * Listener that records what it is told.
	 *
	 * @param events receives the status of refusals and the names of other events
	 */
	private record RecordingListener(Consumer<String> events) implements TurnSession.Listener {

		@Override
		public void opened(byte[] prompt, boolean programStarted) {
			this.events.accept("opened");
		}

		@Override
		public void reserved() {
			this.events.accept("reserved");
		}

		@Override
		public void refused(int status, long retryAfterMs, String reason) {
			this.events.accept(String.valueOf(status));
		}

		@Override
		public void aborted(String cause) {
			this.events.accept("aborted");
		}

	}

	/**
	 * Store that never answers.
	 */
	private static final class SilentStore implements StateStore {

		@Override
		public int shardCount() {
			return 1;
		}

		@Override
		public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<RecordPage> readLatest(int shard, String after) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<ShardAssignment> join(String member, long known) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Void> leave(String member) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<ShardHolders> shardHolders() {
			return new CompletableFuture<>();
		}

	}

}

package org.hemlockgw.gateway.owner;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.RecordPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Membership} and {@link ProgramOwner}.
 */
@Timeout(20)
class MembershipTests {

	/** Timeout of each wait in milliseconds. */
	private static final long TIMEOUT_MS = 5000;

	private static final PeerMessage.FindTurn FIND = new PeerMessage.FindTurn("t");

	private final EventLoop loop = new DefaultEventLoop();

	private final FakeStore store = new FakeStore();

	private final MemberName self = new MemberName("127.0.0.1:1", "a", "x");

	private final Membership membership = new Membership(this.loop, this.store, InstantSource.system(),
			System::nanoTime, this.self, new PeerLinks(this.loop, this.self.text(), System::nanoTime), () -> {
			});

	private final ProgramOwner owner = new ProgramOwner(this.membership,
			new PeerLinks(this.loop, this.self.text(), System::nanoTime));

	@AfterEach
	void stop() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	// Guards against a search that counts a shard as complete although another daemon
	// held it and wrote turns to it between two joins of this one.
	@ParameterizedTest
	@CsvSource({ "2, true", "3, false" })
	void shardIsSearchedOnlyIfNoOtherDaemonCanHaveHeldIt(long generation, boolean complete) throws Exception {
		this.store.generation = 1;
		this.loop.execute(this.membership::start);
		await(() -> this.owner.findTurn(FIND).searchedShards().equals(List.of(0)));
		this.store.pendingAppend = new CompletableFuture<>();
		this.store.generation = generation;
		await(() -> this.owner.findTurn(FIND).generation() == generation);
		assertThat(call(() -> this.owner.findTurn(FIND).searchedShards())).isEqualTo(complete ? List.of(0) : List.of());
		this.store.pendingAppend.complete(AppendOutcome.STORED);
		await(() -> this.owner.findTurn(FIND).searchedShards().equals(List.of(0)));
	}

	// Guards against a daemon that keeps using outdated records of a shard that it had
	// lost in the meantime.
	@ParameterizedTest
	@CsvSource({ "3" })
	void shardIsReadAgainAfterOtherDaemonHeldIt(long generation) throws Exception {
		this.store.generation = 1;
		this.loop.execute(this.membership::start);
		await(() -> this.membership.holds(0));
		int reads = this.store.reads;
		this.store.nextOutcome = AppendOutcome.FENCED;
		this.store.generation = generation;
		await(() -> this.store.reads > reads && this.membership.holds(0));
	}

	// Guards against a member whose lifetime ends in the store because its next join
	// waits for one whose response was lost.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2 })
	void joinDoesNotWaitForLostOne(int lost) throws Exception {
		this.store.generation = 1;
		for (int i = 0; i < lost; i++) {
			this.store.pendingJoins.add(new CompletableFuture<>());
		}
		long begin = System.nanoTime();
		this.loop.execute(this.membership::start);
		await(() -> this.membership.holds(0));
		assertThat(System.nanoTime() - begin)
			.isLessThan(TimeUnit.MILLISECONDS.toNanos((lost + 1) * Membership.JOIN_INTERVAL_MS));
	}

	// Guards against shards that are dropped because of the late response to a join that
	// was sent before the last one.
	@Test
	void lateResponseToEarlierJoinIsIgnored() throws Exception {
		this.store.generation = 1;
		CompletableFuture<ShardAssignment> late = new CompletableFuture<>();
		this.store.pendingJoins.add(late);
		this.loop.execute(this.membership::start);
		await(() -> this.membership.holds(0));
		this.loop.submit(() -> late.complete(new ShardAssignment(1, Set.of()))).get();
		assertThat(call(() -> this.membership.holds(0))).isTrue();
	}

	private <T> T call(Callable<T> task) throws Exception {
		return this.loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private void await(Callable<Boolean> condition) throws Exception {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
		while (!call(condition)) {
			assertThat(System.nanoTime() - deadline).isLessThan(0L);
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	/**
	 * Store of one shard that this daemon holds in every generation.
	 */
	private static final class FakeStore implements StateStore {

		private volatile long generation;

		private volatile int reads;

		// Responses to the next joins.
		private final Queue<CompletableFuture<ShardAssignment>> pendingJoins = new ConcurrentLinkedQueue<>();

		private volatile AppendOutcome nextOutcome = AppendOutcome.STORED;

		private volatile CompletableFuture<AppendOutcome> pendingAppend = CompletableFuture
			.completedFuture(AppendOutcome.STORED);

		@Override
		public int shardCount() {
			return 1;
		}

		@Override
		public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
			if (records.isEmpty()) {
				return CompletableFuture.completedFuture(AppendOutcome.STORED);
			}
			AppendOutcome outcome = this.nextOutcome;
			this.nextOutcome = AppendOutcome.STORED;
			return (outcome == AppendOutcome.FENCED) ? CompletableFuture.completedFuture(outcome) : this.pendingAppend;
		}

		@Override
		public CompletableFuture<RecordPage> readLatest(int shard, String after) {
			this.reads = this.reads + 1;
			return CompletableFuture.completedFuture(new RecordPage(List.of(), false));
		}

		@Override
		public CompletableFuture<ShardAssignment> join(String member, long known) {
			CompletableFuture<ShardAssignment> pending = this.pendingJoins.poll();
			return (pending != null) ? pending
					: CompletableFuture.completedFuture(new ShardAssignment(this.generation, Set.of(0)));
		}

		@Override
		public CompletableFuture<Void> leave(String member) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<ShardHolders> shardHolders() {
			return CompletableFuture.completedFuture(new ShardHolders(this.generation, Map.of()));
		}

	}

}

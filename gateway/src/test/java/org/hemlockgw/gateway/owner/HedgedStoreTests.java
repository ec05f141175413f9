package org.hemlockgw.gateway.owner;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.RecordPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link HedgedStore}.
 */
@Timeout(20)
class HedgedStoreTests {

	/** Timeout of each wait in seconds. */
	private static final long TIMEOUT_S = 5;

	/** Shortest response time objective of the users' turns in milliseconds. */
	private static final long RESPONSE_TIME_OBJECTIVE_MS = 200;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final ScriptedStore store = new ScriptedStore();

	private final HedgedStore hedged = new HedgedStore(this.loop, this.store, System::nanoTime);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	// Guards against callers that wait for the timeout of a call whose answer was lost,
	// against unnecessary repeats, and against failures that are not reported.
	@ParameterizedTest
	@CsvSource({ "answer, STORED, 1", "lost answer, STORED, 2", "lost lost answer, STORED, 3", "fenced, FENCED, 1",
			"lost fenced, FENCED, 2", "fail, failed, 1" })
	void callIsRepeatedIfAnswerIsLost(String script, String expected, int calls) throws Exception {
		this.store.script.addAll(List.of(script.split(" ")));
		assertThat(append()).isEqualTo(expected);
		assertThat(this.store.calls).hasSize(calls);
		assertThat(List.copyOf(this.store.calls).stream().distinct().toList()).containsExactly("3/5/7");
	}

	// Guards against repeated calls to a store that is merely slow.
	@ParameterizedTest
	@CsvSource({ "1, 20", "100, 60" })
	void callToSlowStoreIsNotRepeated(long answerMs, int warmUp) throws Exception {
		this.store.answerMs = answerMs;
		for (int i = 0; i < warmUp; i++) {
			assertThat(append()).isEqualTo("STORED");
		}
		this.store.calls.clear();
		for (int i = 0; i < 5; i++) {
			assertThat(append()).isEqualTo("STORED");
		}
		assertThat(this.store.calls).hasSize(5);
	}

	// Guards against repeats that come late because a single response, as during a start,
	// took long.
	@ParameterizedTest
	@CsvSource({ "1300, 2, lost answer", "1300, 5, lost answer", "1300, 2, lost lost answer" })
	void singleSlowResponseDoesNotDelayRepeats(long slowMs, int others, String script) throws Exception {
		this.store.answerMs = slowMs;
		this.store.script.addAll(List.of("answer", "lost", "lost"));
		append();
		this.store.answerMs = 0;
		for (int i = 0; i < others; i++) {
			append();
		}
		this.store.script.addAll(List.of(script.split(" ")));
		long begin = System.nanoTime();
		assertThat(append()).isEqualTo("STORED");
		assertThat(System.nanoTime() - begin).isAtMost(TimeUnit.MILLISECONDS.toNanos(RESPONSE_TIME_OBJECTIVE_MS));
	}

	private String append() throws Exception {
		CompletableFuture<AppendOutcome> result = this.loop.submit(() -> this.hedged.append(3, 5, 7, List.of()))
			.get(TIMEOUT_S, TimeUnit.SECONDS);
		try {
			return result.get(TIMEOUT_S, TimeUnit.SECONDS).name();
		}
		catch (ExecutionException ex) {
			return "failed";
		}
	}

	/**
	 * Store that answers according to a script, and with success after the end of the
	 * script.
	 */
	private final class ScriptedStore implements StateStore {

		private final List<String> script = new ArrayList<>();

		private final List<String> calls = new CopyOnWriteArrayList<>();

		private long answerMs;

		@Override
		public int shardCount() {
			return 8;
		}

		@Override
		public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
			this.calls.add(shard + "/" + epoch + "/" + sequence);
			CompletableFuture<AppendOutcome> result = new CompletableFuture<>();
			String next = this.script.isEmpty() ? "answer" : this.script.remove(0);
			HedgedStoreTests.this.loop.schedule(() -> {
				switch (next) {
					case "answer" -> result.complete(AppendOutcome.STORED);
					case "fenced" -> result.complete(AppendOutcome.FENCED);
					case "fail" -> result.completeExceptionally(new IOException("down"));
					default -> {
					}
				}
			}, this.answerMs, TimeUnit.MILLISECONDS);
			return result;
		}

		@Override
		public CompletableFuture<RecordPage> readLatest(int shard, String after) {
			return CompletableFuture.failedFuture(new UnsupportedOperationException("newest"));
		}

		@Override
		public CompletableFuture<ShardAssignment> join(String member, long generation) {
			return CompletableFuture.failedFuture(new UnsupportedOperationException("join"));
		}

		@Override
		public CompletableFuture<ShardHolders> shardHolders() {
			return CompletableFuture.failedFuture(new UnsupportedOperationException("owners"));
		}

		@Override
		public CompletableFuture<Void> leave(String member) {
			return CompletableFuture.failedFuture(new UnsupportedOperationException("leave"));
		}

	}

}

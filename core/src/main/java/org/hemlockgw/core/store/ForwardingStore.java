package org.hemlockgw.core.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Base of stores that do something around the calls of another one.
 */
public abstract class ForwardingStore implements StateStore {

	private final StateStore store;

	protected ForwardingStore(StateStore store) {
		this.store = store;
	}

	/**
	 * Makes a call.
	 * @param call what is called
	 * @param forward calls the other store; may be used several times or not at all
	 * @param <T> type of the answer
	 * @return the answer
	 */
	protected abstract <T> CompletableFuture<T> intercept(Call call, Supplier<CompletableFuture<T>> forward);

	@Override
	public final int shardCount() {
		return this.store.shardCount();
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		return intercept(Call.APPEND, () -> this.store.append(shard, epoch, sequence, records));
	}

	@Override
	public CompletableFuture<RecordPage> readLatest(int shard, String after) {
		return intercept(Call.NEWEST, () -> this.store.readLatest(shard, after));
	}

	@Override
	public CompletableFuture<ShardAssignment> join(String member, long generation) {
		return intercept(Call.JOIN, () -> this.store.join(member, generation));
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return intercept(Call.LEAVE, () -> this.store.leave(member));
	}

	@Override
	public CompletableFuture<ShardHolders> shardHolders() {
		return intercept(Call.OWNERS, this.store::shardHolders);
	}

	/**
	 * Calls of a store.
	 */
	protected enum Call {

		/** {@link StateStore#append}. */
		APPEND,

		/** {@link StateStore#readLatest}. */
		NEWEST,

		/** {@link StateStore#join}. */
		JOIN,

		/** {@link StateStore#leave}. */
		LEAVE,

		/** {@link StateStore#shardHolders}. */
		OWNERS

	}

}

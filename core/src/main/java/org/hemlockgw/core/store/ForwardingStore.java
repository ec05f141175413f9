package org.hemlockgw.core.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Base class of stores that intercept the calls to another store.
 */
public abstract class ForwardingStore implements StateStore {

	private final StateStore delegate;

	protected ForwardingStore(StateStore delegate) {
		this.delegate = delegate;
	}

	/**
	 * Handles a call to the store.
	 * @param call the called method
	 * @param operation calls the underlying store; may be invoked several times or not at
	 * all
	 * @param <T> type of the result
	 * @return the result
	 */
	protected abstract <T> CompletableFuture<T> intercept(Call call, Supplier<CompletableFuture<T>> operation);

	@Override
	public final int shardCount() {
		return this.delegate.shardCount();
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		return intercept(Call.APPEND, () -> this.delegate.append(shard, epoch, sequence, records));
	}

	@Override
	public CompletableFuture<RecordPage> readLatest(int shard, String after) {
		return intercept(Call.NEWEST, () -> this.delegate.readLatest(shard, after));
	}

	@Override
	public CompletableFuture<ShardAssignment> join(String member, long generation) {
		return intercept(Call.JOIN, () -> this.delegate.join(member, generation));
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return intercept(Call.LEAVE, () -> this.delegate.leave(member));
	}

	@Override
	public CompletableFuture<ShardHolders> shardHolders() {
		return intercept(Call.OWNERS, this.delegate::shardHolders);
	}

	/** Methods of a store that can be intercepted. */
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

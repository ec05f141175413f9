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
	protected abstract <T> CompletableFuture<T> around(Call call, Supplier<CompletableFuture<T>> forward);

	@Override
	public final int shardCount() {
		return this.store.shardCount();
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		return around(Call.APPEND, () -> this.store.append(shard, epoch, sequence, records));
	}

	@Override
	public CompletableFuture<NewestPage> newest(int shard, String after) {
		return around(Call.NEWEST, () -> this.store.newest(shard, after));
	}

	@Override
	public CompletableFuture<ShardAssignment> join(String member, long generation) {
		return around(Call.JOIN, () -> this.store.join(member, generation));
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return around(Call.LEAVE, () -> this.store.leave(member));
	}

	@Override
	public CompletableFuture<ShardHolders> owners() {
		return around(Call.OWNERS, this.store::owners);
	}

	/**
	 * Calls of a store.
	 */
	protected enum Call {

		/** {@link StateStore#append}. */
		APPEND,

		/** {@link StateStore#newest}. */
		NEWEST,

		/** {@link StateStore#join}. */
		JOIN,

		/** {@link StateStore#leave}. */
		LEAVE,

		/** {@link StateStore#owners}. */
		OWNERS

	}

}

package org.hemlockgw.gateway.owner;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.RecordPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * Store client that relays a call through another daemon if the direct call fails. All
 * calls may be repeated, so the other daemon simply repeats a call whose outcome is
 * unknown.
 */
final class RelayedStore implements StateStore {

	/**
	 * Time limit in milliseconds for the reply of a relaying daemon: the duration of two
	 * of its own calls to the store.
	 */
	private static final long REPLY_TIMEOUT_MS = 1000;

	/**
	 * Number of daemons that are asked one after another to relay a call, until one
	 * reaches the store or does not reply.
	 */
	private static final int MAX_RELAYS = 3;

	private final StateStore direct;

	private final PeerLinks peers;

	private final KnownMembers members;

	// Daemon that relayed the last successful call.
	private @Nullable MemberName relayMember;

	private boolean lastCallFailed;

	/**
	 * Creates a store client.
	 * @param direct client that calls the store directly
	 * @param peers connections to other daemons
	 * @param members daemons that can relay calls
	 */
	RelayedStore(StateStore direct, PeerLinks peers, KnownMembers members) {
		this.direct = direct;
		this.peers = peers;
		this.members = members;
	}

	@Override
	public int shardCount() {
		return this.direct.shardCount();
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		return call(this.direct.append(shard, epoch, sequence, records),
				new PeerMessage.RelayAppend(shard, epoch, sequence, records),
				(answer) -> (answer instanceof PeerMessage.AppendRelayed relayed) ? relayed.outcome() : null);
	}

	@Override
	public CompletableFuture<ShardAssignment> join(String member, long generation) {
		return call(this.direct.join(member, generation), new PeerMessage.RelayJoin(member, generation),
				(answer) -> (answer instanceof PeerMessage.JoinRelayed relayed) ? relayed.assignment() : null);
	}

	@Override
	public CompletableFuture<RecordPage> readLatest(int shard, String after) {
		return call(this.direct.readLatest(shard, after), new PeerMessage.RelayRead(shard, after),
				(answer) -> (answer instanceof PeerMessage.ReadRelayed relayed) ? relayed.page() : null);
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return this.direct.leave(member);
	}

	@Override
	public CompletableFuture<ShardHolders> shardHolders() {
		return call(this.direct.shardHolders(), new PeerMessage.RelayHolders(),
				(answer) -> (answer instanceof PeerMessage.HoldersRelayed relayed) ? relayed.holders() : null);
	}

	private <T> CompletableFuture<T> call(CompletableFuture<T> directCall, PeerMessage.StoreCall request,
			Function<PeerMessage, @Nullable T> decoder) {
		// After a failed call, the next one is relayed at once: a member that waited for
		// the direct call to fail each time would lose its shards.
		CompletableFuture<T> relayed = this.lastCallFailed ? relay(request, decoder) : null;
		CompletableFuture<T> result = new CompletableFuture<>();
		directCall.whenComplete((answer, error) -> {
			this.lastCallFailed = error != null;
			if (error == null) {
				result.complete(answer);
				return;
			}
			CompletableFuture<T> fallback = (relayed != null) ? relayed : relay(request, decoder);
			fallback.whenComplete((found, cause) -> {
				if (cause != null) {
					result.completeExceptionally(new IOException(error.getMessage() + "; " + cause.getMessage()));
				}
			});
			fallback.thenAccept(result::complete);
		});
		if (relayed != null) {
			relayed.thenAccept(result::complete);
		}
		return result;
	}

	private <T> CompletableFuture<T> relay(PeerMessage.StoreCall request, Function<PeerMessage, @Nullable T> decoder) {
		CompletableFuture<T> result = new CompletableFuture<>();
		Deque<MemberName> targets = new ArrayDeque<>(this.members.choose(MAX_RELAYS));
		MemberName preferred = this.relayMember;
		if (preferred != null) {
			targets.remove(preferred);
			targets.addFirst(preferred);
		}
		relay(request, decoder, targets, "no other daemon is known", result);
		return result;
	}

	private <T> void relay(PeerMessage.StoreCall request, Function<PeerMessage, @Nullable T> decoder,
			Deque<MemberName> targets, String lastCause, CompletableFuture<T> result) {
		MemberName target = targets.poll();
		if (target == null) {
			result.completeExceptionally(new IOException(lastCause));
			return;
		}
		this.peers.request(target.peerAddress(), request, REPLY_TIMEOUT_MS, new ReplyListener() {
			@Override
			public void onReply(PeerMessage message) {
				T answer = decoder.apply(message);
				if (answer == null) {
					tryNext("the store does not answer the relaying daemon either");
					return;
				}
				RelayedStore.this.relayMember = target;
				result.complete(answer);
			}

			@Override
			public void onFailure(String cause) {
				RelayedStore.this.members.recordFailure(target);
				targets.clear();
				tryNext(cause);
			}

			private void tryNext(String cause) {
				if (target.equals(RelayedStore.this.relayMember)) {
					RelayedStore.this.relayMember = null;
				}
				relay(request, decoder, targets, "through " + target.peerAddress() + ": " + cause, result);
			}
		});
	}

	/**
	 * Calls the store directly on behalf of another daemon, without relaying the call
	 * further. If the last direct call of this daemon failed, replies at once that the
	 * store does not answer, so that the other daemon can choose another relay.
	 * @param call the call
	 * @param reply receives the answer
	 */
	void handle(PeerMessage.StoreCall call, Consumer<PeerMessage> reply) {
		if (call instanceof PeerMessage.RelayAppend relay) {
			callDirectly(() -> this.direct.append(relay.shard(), relay.epoch(), relay.sequence(), relay.records()))
				.whenComplete((outcome, error) -> reply.accept(new PeerMessage.AppendRelayed(outcome)));
		}
		else if (call instanceof PeerMessage.RelayJoin relay) {
			callDirectly(() -> this.direct.join(relay.member(), relay.generation()))
				.whenComplete((assignment, error) -> reply.accept(new PeerMessage.JoinRelayed(assignment)));
		}
		else if (call instanceof PeerMessage.RelayRead relay) {
			callDirectly(() -> this.direct.readLatest(relay.shard(), relay.after()))
				.whenComplete((page, error) -> reply.accept(new PeerMessage.ReadRelayed(page)));
		}
		else {
			callDirectly(this.direct::shardHolders)
				.whenComplete((holders, error) -> reply.accept(new PeerMessage.HoldersRelayed(holders)));
		}
	}

	private <T> CompletableFuture<T> callDirectly(Supplier<CompletableFuture<T>> call) {
		return this.lastCallFailed ? CompletableFuture.failedFuture(new IOException("the last call failed"))
				: call.get();
	}

}

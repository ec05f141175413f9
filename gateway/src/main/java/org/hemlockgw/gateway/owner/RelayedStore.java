package org.hemlockgw.gateway.owner;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

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
 * The store, through another daemon where it turns this one away. All calls may be
 * repeated, so one whose outcome is unknown is simply made again by the other one.
 */
final class RelayedStore implements StateStore {

	/**
	 * Time in milliseconds for another daemon's answer: two of its own calls to the
	 * store.
	 */
	private static final long REPLY_TIMEOUT_MS = 1000;

	private final StateStore direct;

	private final PeerLinks peers;

	private final KnownMembers members;

	// The daemon whose relay worked last.
	private @Nullable MemberName helper;

	private boolean turnedAway;

	/**
	 * Creates a store.
	 * @param direct the store itself
	 * @param peers links to other daemons
	 * @param members other daemons
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

	private <T> CompletableFuture<T> call(CompletableFuture<T> call, PeerMessage.StoreCall request,
			Function<PeerMessage, @Nullable T> decoder) {
		// A member that waits for a call to fail before each relay loses its shards.
		CompletableFuture<T> relayed = this.turnedAway ? relay(request, decoder) : null;
		CompletableFuture<T> result = new CompletableFuture<>();
		call.whenComplete((answer, error) -> {
			this.turnedAway = error != null;
			if (error == null) {
				result.complete(answer);
				return;
			}
			CompletableFuture<T> other = (relayed != null) ? relayed : relay(request, decoder);
			other.whenComplete((found, cause) -> {
				if (cause != null) {
					result.completeExceptionally(new IOException(error.getMessage() + "; " + cause.getMessage()));
				}
			});
			other.thenAccept(result::complete);
		});
		if (relayed != null) {
			relayed.thenAccept(result::complete);
		}
		return result;
	}

	private <T> CompletableFuture<T> relay(PeerMessage.StoreCall request, Function<PeerMessage, @Nullable T> decoder) {
		CompletableFuture<T> result = new CompletableFuture<>();
		List<MemberName> targets = (this.helper != null) ? List.of(this.helper) : this.members.choose(1);
		if (targets.isEmpty()) {
			result.completeExceptionally(new IOException("no other daemon is known"));
			return result;
		}
		MemberName target = targets.get(0);
		this.peers.request(target.peerAddress(), request, REPLY_TIMEOUT_MS, new ReplyListener() {
			@Override
			public void onReply(PeerMessage message) {
				T answer = decoder.apply(message);
				if (answer == null) {
					onFailure("the store does not answer it either");
					return;
				}
				RelayedStore.this.helper = target;
				result.complete(answer);
			}

			@Override
			public void onFailure(String cause) {
				if (target.equals(RelayedStore.this.helper)) {
					RelayedStore.this.helper = null;
				}
				result.completeExceptionally(new IOException("through " + target.peerAddress() + ": " + cause));
			}
		});
		return result;
	}

	/**
	 * Makes a call for another daemon, without a relay of its own.
	 * @param call the call
	 * @param reply takes the answer
	 */
	void handle(PeerMessage.StoreCall call, Consumer<PeerMessage> reply) {
		if (call instanceof PeerMessage.RelayAppend relay) {
			this.direct.append(relay.shard(), relay.epoch(), relay.sequence(), relay.records())
				.whenComplete((outcome, error) -> reply.accept(new PeerMessage.AppendRelayed(outcome)));
		}
		else if (call instanceof PeerMessage.RelayJoin relay) {
			this.direct.join(relay.member(), relay.generation())
				.whenComplete((assignment, error) -> reply.accept(new PeerMessage.JoinRelayed(assignment)));
		}
		else if (call instanceof PeerMessage.RelayRead relay) {
			this.direct.readLatest(relay.shard(), relay.after())
				.whenComplete((page, error) -> reply.accept(new PeerMessage.ReadRelayed(page)));
		}
		else {
			this.direct.shardHolders()
				.whenComplete((holders, error) -> reply.accept(new PeerMessage.HoldersRelayed(holders)));
		}
	}

}

package org.hemlockgw.gateway.owner;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.NewestPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * The store, through another daemon where it turns this one away. Appends and joins may
 * be repeated, so a call whose outcome is unknown is simply made again by the other one.
 */
final class RelayedStore implements StateStore {

	private static final Logger logger = LoggerFactory.getLogger(RelayedStore.class);

	/**
	 * Time in milliseconds for another daemon's answer: two of its own calls to the
	 * store.
	 */
	private static final long REPLY_TIMEOUT_MS = 1000;

	private final StateStore direct;

	private final PeerLinks peers;

	private final Supplier<@Nullable MemberName> helper;

	RelayedStore(StateStore direct, PeerLinks peers, Supplier<@Nullable MemberName> helper) {
		this.direct = direct;
		this.peers = peers;
		this.helper = helper;
	}

	@Override
	public int shardCount() {
		return this.direct.shardCount();
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		return orRelayed(this.direct.append(shard, epoch, sequence, records),
				new PeerMessage.RelayAppend(shard, epoch, sequence, records),
				(answer) -> (answer instanceof PeerMessage.AppendRelayed relayed) ? relayed.outcome() : null);
	}

	@Override
	public CompletableFuture<ShardAssignment> join(String member, long generation) {
		return orRelayed(this.direct.join(member, generation), new PeerMessage.RelayJoin(member, generation),
				(answer) -> (answer instanceof PeerMessage.JoinRelayed relayed) ? relayed.assignment() : null);
	}

	@Override
	public CompletableFuture<NewestPage> newest(int shard, String after) {
		return this.direct.newest(shard, after);
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return this.direct.leave(member);
	}

	@Override
	public CompletableFuture<ShardHolders> owners() {
		return this.direct.owners();
	}

	private <T> CompletableFuture<T> orRelayed(CompletableFuture<T> call, PeerMessage request,
			Function<PeerMessage, @Nullable T> decoder) {
		CompletableFuture<T> result = new CompletableFuture<>();
		call.whenComplete((answer, error) -> {
			if (error == null) {
				result.complete(answer);
				return;
			}
			MemberName target = this.helper.get();
			if (target == null) {
				result.completeExceptionally(error);
				return;
			}
			relay(target, request, decoder, result, error);
		});
		return result;
	}

	private <T> void relay(MemberName target, PeerMessage request, Function<PeerMessage, @Nullable T> decoder,
			CompletableFuture<T> result, Throwable direct) {
		this.peers.request(target.peerAddress(), request, REPLY_TIMEOUT_MS, new ReplyListener() {
			@Override
			public void reply(PeerMessage message) {
				T answer = decoder.apply(message);
				if (answer == null) {
					failed("the store does not answer it either");
				}
				else {
					result.complete(answer);
				}
			}

			@Override
			public void failed(String cause) {
				result.completeExceptionally(
						new IOException(direct.getMessage() + "; through " + target.peerAddress() + ": " + cause));
			}
		});
	}

	/**
	 * Makes a call for another daemon, without a relay of its own.
	 * @param request the call
	 * @param reply takes the answer
	 */
	void handle(PeerMessage request, Consumer<PeerMessage> reply) {
		if (request instanceof PeerMessage.RelayAppend relay) {
			this.direct.append(relay.shard(), relay.epoch(), relay.sequence(), relay.records())
				.whenComplete((outcome, error) -> reply.accept(new PeerMessage.AppendRelayed(outcome)));
		}
		else if (request instanceof PeerMessage.RelayJoin relay) {
			this.direct.join(relay.member(), relay.generation())
				.whenComplete((assignment, error) -> reply.accept(new PeerMessage.JoinRelayed(assignment)));
		}
		else {
			logger.warn("{} is not relayed", request.getClass().getSimpleName());
		}
	}

}

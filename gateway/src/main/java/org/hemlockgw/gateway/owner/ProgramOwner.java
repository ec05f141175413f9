package org.hemlockgw.gateway.owner;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.turn.TurnRecord;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.peer.TurnStatus;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Handles turns on the side of the program's owner: reserves tokens, finds the chain of a
 * turn and records its end.
 */
public final class ProgramOwner {

	private static final Logger logger = LoggerFactory.getLogger(ProgramOwner.class);

	/**
	 * Time limit in milliseconds for other daemons to report whether they have a chain.
	 */
	private static final long FIND_TIMEOUT_MS = 400;

	private final Membership membership;

	private final PeerLinks peers;

	public ProgramOwner(Membership membership, PeerLinks peers) {
		this.membership = membership;
		this.peers = peers;
	}

	/**
	 * Opens a turn.
	 * @param request the turn
	 * @param reply receives {@link PeerMessage.TurnOpened} and
	 * {@link PeerMessage.ReservationStored}
	 */
	public void openTurn(PeerMessage.OpenTurn request, Consumer<PeerMessage> reply) {
		OwnedShard shard = findReadyShard(request.program());
		if (shard == null) {
			reply.accept(PeerMessage.TurnOpened.refused(TurnStatus.NOT_OWNER));
			return;
		}
		String parent = request.parent();
		if (parent == null) {
			reserve(shard, request, List.of(), reply);
			return;
		}
		List<TurnRecord> chain = findLocalChain(parent);
		if (chain != null) {
			if (shard.findChain(parent) == null) {
				shard.importChain(chain);
			}
			reserve(shard, request, chain, reply);
			return;
		}
		new Search(request, reply).start();
	}

	private void reserve(OwnedShard shard, PeerMessage.OpenTurn request, List<TurnRecord> chain,
			Consumer<PeerMessage> reply) {
		boolean programStarted = shard.isProgramStarted(request.program());
		boolean storeAvailable = !this.membership.isStoreUnavailable();
		boolean reserved = shard.reserve(request, (stored) -> reply.accept(new PeerMessage.ReservationStored(stored)));
		reply.accept(reserved ? new PeerMessage.TurnOpened(TurnStatus.OK, programStarted, storeAvailable, prompt(chain))
				: PeerMessage.TurnOpened.refused(TurnStatus.BUDGET_SPENT));
	}

	private static byte[] prompt(List<TurnRecord> chain) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		chain.forEach((turn) -> {
			bytes.writeBytes(turn.input());
			bytes.writeBytes(turn.output());
		});
		return bytes.toByteArray();
	}

	private @Nullable OwnedShard findReadyShard(String program) {
		return this.membership.findReadyShard(this.membership.shardOf(program));
	}

	private @Nullable List<TurnRecord> findLocalChain(String turn) {
		for (OwnedShard shard : this.membership.ownedShards().values()) {
			List<TurnRecord> chain = shard.isReady() ? shard.findChain(turn) : null;
			if (chain != null) {
				return chain;
			}
		}
		return null;
	}

	/**
	 * Ends a turn.
	 * @param request the turn
	 * @param reply receives {@link PeerMessage.TurnClosed}
	 */
	public void closeTurn(PeerMessage.CloseTurn request, Consumer<PeerMessage> reply) {
		OwnedShard shard = findReadyShard(request.record().program());
		if (shard == null) {
			reply.accept(new PeerMessage.TurnClosed(TurnStatus.NOT_OWNER));
			return;
		}
		shard.closeTurn(request,
				(stored) -> reply.accept(new PeerMessage.TurnClosed(stored ? TurnStatus.OK : TurnStatus.NOT_OWNER)));
	}

	/**
	 * Searches the shards of this daemon for a chain.
	 * @param request the search request
	 * @return the chain, if found, and the shards that were searched with complete state
	 */
	public PeerMessage.TurnFound findTurn(PeerMessage.FindTurn request) {
		List<Integer> searched = new ArrayList<>();
		this.membership.ownedShards().forEach((number, shard) -> {
			if (shard.isComplete()) {
				searched.add(number);
			}
		});
		List<TurnRecord> chain = findLocalChain(request.turn());
		return new PeerMessage.TurnFound(this.membership.generation(), searched, (chain != null) ? chain : List.of());
	}

	/**
	 * Searches all other daemons for a chain. A daemon may not have noticed yet that it
	 * has lost a shard, so its answer counts only if the store confirms afterwards that
	 * it holds the shard.
	 */
	private final class Search {

		private final PeerMessage.OpenTurn request;

		private final Consumer<PeerMessage> reply;

		private final Map<String, PeerMessage.TurnFound> answers = new HashMap<>();

		private int outstanding;

		private boolean found;

		Search(PeerMessage.OpenTurn request, Consumer<PeerMessage> reply) {
			this.request = request;
			this.reply = reply;
		}

		void start() {
			Membership membership = ProgramOwner.this.membership;
			PeerMessage.FindTurn find = new PeerMessage.FindTurn(String.valueOf(this.request.parent()));
			this.answers.put(membership.self().peerAddress(), findTurn(find));
			Set<String> peers = membership.peerAddresses();
			this.outstanding = peers.size();
			for (String peer : peers) {
				ProgramOwner.this.peers.request(peer, find, FIND_TIMEOUT_MS, new ReplyListener() {
					@Override
					public void onReply(PeerMessage message) {
						handleAnswer(peer, (PeerMessage.TurnFound) message);
					}

					@Override
					public void onFailure(String cause) {
						handleAnswer(peer, new PeerMessage.TurnFound(0, List.of(), List.of()));
					}
				});
			}
			if (peers.isEmpty()) {
				membership.fetchHolders(this::finish);
			}
		}

		private void handleAnswer(String peer, PeerMessage.TurnFound answer) {
			this.outstanding--;
			if (this.found) {
				return;
			}
			if (!answer.chain().isEmpty()) {
				this.found = true;
				importChain(answer.chain());
				return;
			}
			this.answers.put(peer, answer);
			if (this.outstanding == 0) {
				ProgramOwner.this.membership.fetchHolders(this::finish);
			}
		}

		private void importChain(List<TurnRecord> chain) {
			OwnedShard shard = findReadyShard(this.request.program());
			if (shard == null) {
				this.reply.accept(PeerMessage.TurnOpened.refused(TurnStatus.NOT_OWNER));
				return;
			}
			shard.importChain(chain);
			reserve(shard, this.request, chain, this.reply);
		}

		private void finish(@Nullable ShardHolders holders) {
			boolean complete = holders != null && coversAllShards(holders);
			logger.atInfo()
				.addKeyValue(LogFields.REQUEST, this.request.turn())
				.addKeyValue(LogFields.PROGRAM, this.request.program())
				.addKeyValue(LogFields.PARENT, this.request.parent())
				.addKeyValue(LogFields.GENERATION, (holders != null) ? holders.generation() : 0)
				.addKeyValue(LogFields.ALL_REPLIED, complete)
				.log("turn to continue is not found");
			this.reply
				.accept(PeerMessage.TurnOpened.refused(complete ? TurnStatus.NO_SUCH_TURN : TurnStatus.UNCERTAIN));
		}

		private boolean coversAllShards(ShardHolders holders) {
			for (int shard = 0; shard < ProgramOwner.this.membership.shardCount(); shard++) {
				MemberName holder = MemberName.parse(holders.members().getOrDefault(shard, ""));
				PeerMessage.TurnFound answer = (holder != null) ? this.answers.get(holder.peerAddress()) : null;
				if (answer == null || answer.generation() != holders.generation()
						|| !answer.searchedShards().contains(shard)) {
					return false;
				}
			}
			return true;
		}

	}

}

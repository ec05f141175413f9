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
 * Owner's side of turns: reserves, finds chains and records ends.
 */
public final class ProgramOwner {

	private static final Logger logger = LoggerFactory.getLogger(ProgramOwner.class);

	/** Time in milliseconds in which other daemons must say whether they have a chain. */
	private static final long FIND_TIMEOUT_MS = 400;

	private static final byte[] NO_PROMPT = {};

	private final Membership membership;

	private final PeerLinks peers;

	public ProgramOwner(Membership membership, PeerLinks peers) {
		this.membership = membership;
		this.peers = peers;
	}

	/**
	 * Opens a turn.
	 * @param open the turn
	 * @param reply takes {@link PeerMessage.TurnOpened} and
	 * {@link PeerMessage.ReservationStored}
	 */
	public void openTurn(PeerMessage.OpenTurn open, Consumer<PeerMessage> reply) {
		OwnedShard shard = owned(open.program());
		if (shard == null) {
			reply.accept(new PeerMessage.TurnOpened(TurnStatus.NOT_OWNER, NO_PROMPT));
			return;
		}
		String parent = open.parent();
		if (parent == null) {
			reserve(shard, open, List.of(), reply);
			return;
		}
		List<TurnRecord> chain = chain(parent);
		if (chain != null) {
			reserve(shard, open, chain, reply);
			return;
		}
		new Search(open, reply).start();
	}

	private void reserve(OwnedShard shard, PeerMessage.OpenTurn open, List<TurnRecord> chain,
			Consumer<PeerMessage> reply) {
		boolean reserved = shard.reserve(open, (stored) -> reply.accept(new PeerMessage.ReservationStored(stored)));
		reply.accept(reserved ? new PeerMessage.TurnOpened(TurnStatus.OK, prompt(chain))
				: new PeerMessage.TurnOpened(TurnStatus.BUDGET_SPENT, NO_PROMPT));
	}

	private static byte[] prompt(List<TurnRecord> chain) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		chain.forEach((turn) -> {
			bytes.writeBytes(turn.input());
			bytes.writeBytes(turn.output());
		});
		return bytes.toByteArray();
	}

	private @Nullable OwnedShard owned(String program) {
		return this.membership.findReadyShard(this.membership.shardOf(program));
	}

	private @Nullable List<TurnRecord> chain(String turn) {
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
	 * @param close the turn
	 * @param reply takes {@link PeerMessage.TurnClosed}
	 */
	public void closeTurn(PeerMessage.CloseTurn close, Consumer<PeerMessage> reply) {
		OwnedShard shard = owned(close.record().program());
		if (shard == null) {
			reply.accept(new PeerMessage.TurnClosed(TurnStatus.NOT_OWNER));
			return;
		}
		shard.closeTurn(close,
				(stored) -> reply.accept(new PeerMessage.TurnClosed(stored ? TurnStatus.OK : TurnStatus.NOT_OWNER)));
	}

	/**
	 * Looks for a chain in the shards that are held here.
	 * @param find the search
	 * @return what was found, and which shards that covers
	 */
	public PeerMessage.TurnFound findTurn(PeerMessage.FindTurn find) {
		List<Integer> searched = new ArrayList<>();
		this.membership.ownedShards().forEach((number, shard) -> {
			if (shard.isComplete()) {
				searched.add(number);
			}
		});
		List<TurnRecord> chain = chain(find.turn());
		return new PeerMessage.TurnFound(this.membership.generation(), searched, (chain != null) ? chain : List.of());
	}

	/**
	 * Search of a chain at all other daemons. A daemon may believe that it holds a shard
	 * that it has lost, so its answer counts only if the store confirms it afterwards.
	 */
	private final class Search {

		private final PeerMessage.OpenTurn open;

		private final Consumer<PeerMessage> reply;

		private final Map<String, PeerMessage.TurnFound> answers = new HashMap<>();

		private int waiting;

		private boolean done;

		Search(PeerMessage.OpenTurn open, Consumer<PeerMessage> reply) {
			this.open = open;
			this.reply = reply;
		}

		void start() {
			Membership membership = ProgramOwner.this.membership;
			PeerMessage.FindTurn find = new PeerMessage.FindTurn(String.valueOf(this.open.parent()));
			this.answers.put(membership.self().peerAddress(), findTurn(find));
			Set<String> peers = membership.peerAddresses();
			this.waiting = peers.size();
			for (String peer : peers) {
				ProgramOwner.this.peers.request(peer, find, FIND_TIMEOUT_MS, new ReplyListener() {
					@Override
					public void onReply(PeerMessage message) {
						answered(peer, (PeerMessage.TurnFound) message);
					}

					@Override
					public void onFailure(String cause) {
						answered(peer, new PeerMessage.TurnFound(0, List.of(), List.of()));
					}
				});
			}
			if (peers.isEmpty()) {
				membership.fetchHolders(this::confirmed);
			}
		}

		private void answered(String peer, PeerMessage.TurnFound found) {
			this.waiting--;
			if (this.done) {
				return;
			}
			if (!found.chain().isEmpty()) {
				this.done = true;
				adopt(found.chain());
				return;
			}
			this.answers.put(peer, found);
			if (this.waiting == 0) {
				ProgramOwner.this.membership.fetchHolders(this::confirmed);
			}
		}

		private void adopt(List<TurnRecord> chain) {
			OwnedShard shard = owned(this.open.program());
			if (shard == null) {
				this.reply.accept(new PeerMessage.TurnOpened(TurnStatus.NOT_OWNER, NO_PROMPT));
				return;
			}
			shard.importChain(chain);
			reserve(shard, this.open, chain, this.reply);
		}

		private void confirmed(@Nullable ShardHolders holders) {
			boolean complete = holders != null && isConfirmed(holders);
			logger.atInfo()
				.addKeyValue(LogFields.REQUEST, this.open.turn())
				.addKeyValue(LogFields.PROGRAM, this.open.program())
				.addKeyValue(LogFields.PARENT, this.open.parent())
				.addKeyValue(LogFields.GENERATION, (holders != null) ? holders.generation() : 0)
				.addKeyValue(LogFields.ALL_REPLIED, complete)
				.log("turn to continue is not found");
			this.reply.accept(
					new PeerMessage.TurnOpened(complete ? TurnStatus.NO_SUCH_TURN : TurnStatus.UNCERTAIN, NO_PROMPT));
		}

		private boolean isConfirmed(ShardHolders holders) {
			for (int shard = 0; shard < ProgramOwner.this.membership.shardCount(); shard++) {
				MemberName holder = MemberName.parse(holders.members().getOrDefault(shard, ""));
				PeerMessage.TurnFound answer = (holder != null) ? this.answers.get(holder.peerAddress()) : null;
				if (answer == null || answer.generation() != holders.generation() || !answer.shards().contains(shard)) {
					return false;
				}
			}
			return true;
		}

	}

}

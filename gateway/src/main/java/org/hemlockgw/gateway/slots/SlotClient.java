package org.hemlockgw.gateway.slots;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.pool.PoolMember;
import org.hemlockgw.core.pool.PoolScheduler;
import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Asks the scheduler of a pool for slots: the daemon that holds the pool's shard. If it
 * can't be reached, this daemon's own scheduler decides with what it knows.
 */
public final class SlotClient {

	private static final Logger logger = LoggerFactory.getLogger(SlotClient.class);

	/**
	 * Time in milliseconds for a scheduler's first reply; a round trip takes about two.
	 */
	private static final long REPLY_TIMEOUT_MS = 150;

	/** Interval in milliseconds of checks of waiting requests and of moved schedulers. */
	private static final long TICK_MS = 50;

	private final Membership membership;

	private final PeerLinks peers;

	private final LongSupplier nanoClock;

	private final Map<String, PoolScheduler> schedulers = new HashMap<>();

	private final Set<Slot> held = new HashSet<>();

	public SlotClient(EventLoop loop, Membership membership, PeerLinks peers, LongSupplier nanoClock) {
		this.membership = membership;
		this.peers = peers;
		this.nanoClock = nanoClock;
		loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Replaces the list of all backend servers.
	 * @param list the servers
	 */
	public void updateServers(List<PoolMember> list) {
		Map<String, List<PoolMember>> byPool = new HashMap<>();
		this.schedulers.keySet().forEach((pool) -> byPool.put(pool, new ArrayList<>()));
		list.forEach((member) -> byPool.computeIfAbsent(member.pool(), (pool) -> new ArrayList<>()).add(member));
		byPool.forEach((pool, servers) -> scheduler(pool).updateServers(servers));
	}

	private PoolScheduler scheduler(String pool) {
		return this.schedulers.computeIfAbsent(pool, (name) -> new PoolScheduler(this.nanoClock));
	}

	private @Nullable String schedulerAddress(String pool) {
		return this.membership.holderAddress(this.membership.shardOf(pool));
	}

	/**
	 * Asks for a slot.
	 * @param pool name of the pool
	 * @param request the request
	 * @param answer receives the outcome once
	 * @return handle for {@link #release}
	 */
	public Slot acquire(String pool, SlotRequest request, Consumer<SlotDecision> answer) {
		String address = schedulerAddress(pool);
		Slot slot = new Slot(pool, request, address);
		this.held.add(slot);
		if (address == null) {
			acquireHere(slot, answer);
			return slot;
		}
		this.peers.request(address, new PeerMessage.AcquireSlot(pool, request), REPLY_TIMEOUT_MS, new ReplyListener() {
			@Override
			public void onReply(PeerMessage message) {
				if (!(message instanceof PeerMessage.SlotAnswered answered) || !SlotClient.this.held.contains(slot)) {
					return;
				}
				SlotDecision outcome = answered.answer();
				if (outcome == null) {
					onFailure("not the scheduler of " + pool);
					return;
				}
				answered(slot, outcome, answer);
			}

			@Override
			public void onFailure(String cause) {
				if (SlotClient.this.held.contains(slot)) {
					logger.atInfo()
						.addKeyValue(LogFields.REQUEST, request.id())
						.addKeyValue(LogFields.POOL, pool)
						.addKeyValue(LogFields.PEER, address)
						.addKeyValue(LogFields.REASON, cause)
						.log("scheduling here");
					SlotClient.this.membership.refresh();
					slot.setScheduler(null);
					acquireHere(slot, answer);
				}
			}
		});
		return slot;
	}

	private void acquireHere(Slot slot, Consumer<SlotDecision> answer) {
		scheduler(slot.pool()).submit(slot.request(), (outcome) -> answered(slot, outcome, answer));
	}

	private void answered(Slot slot, SlotDecision outcome, Consumer<SlotDecision> answer) {
		if (outcome.serverId() == null) {
			this.held.remove(slot);
		}
		else {
			slot.setServer(outcome.serverId());
		}
		answer.accept(outcome);
	}

	/**
	 * Returns a slot or withdraws the request for it.
	 * @param slot the slot
	 * @param units size of the answer; 0 if nothing can be learnt from it
	 * @param failed whether the server failed
	 */
	public void release(Slot slot, int units, boolean failed) {
		if (!this.held.remove(slot)) {
			return;
		}
		String address = slot.scheduler();
		PeerMessage.ReleaseSlot release = new PeerMessage.ReleaseSlot(slot.pool(), slot.request().id(), units, failed);
		if (address == null) {
			handle(release);
		}
		else {
			this.peers.sendOneWay(address, release);
		}
	}

	/**
	 * Answers another daemon's request for a slot.
	 * @param acquire the request
	 * @param reply takes {@link PeerMessage.SlotQueued} and
	 * {@link PeerMessage.SlotAnswered}
	 */
	public void handle(PeerMessage.AcquireSlot acquire, Consumer<PeerMessage> reply) {
		if (!this.membership.holds(this.membership.shardOf(acquire.pool()))) {
			reply.accept(new PeerMessage.SlotAnswered(null));
			return;
		}
		boolean[] answered = { false };
		scheduler(acquire.pool()).submit(acquire.request(), (outcome) -> {
			answered[0] = true;
			reply.accept(new PeerMessage.SlotAnswered(outcome));
		});
		if (!answered[0]) {
			reply.accept(new PeerMessage.SlotQueued());
		}
	}

	public void handle(PeerMessage.ReleaseSlot release) {
		PoolScheduler scheduler = scheduler(release.pool());
		scheduler.cancel(release.request());
		scheduler.release(release.request(), release.units(), release.failed());
	}

	public void handle(PeerMessage.HoldSlot hold) {
		scheduler(hold.pool()).restoreGrant(hold.request(), hold.server());
	}

	/**
	 * Ends what a lost daemon held.
	 * @param holder its name
	 */
	public void releaseAll(String holder) {
		List.copyOf(this.schedulers.values()).forEach((scheduler) -> scheduler.releaseAll(holder));
	}

	private void tick() {
		List.copyOf(this.schedulers.values()).forEach(PoolScheduler::expireOverdue);
		for (Slot slot : List.copyOf(this.held)) {
			String server = slot.server();
			String address = schedulerAddress(slot.pool());
			if (server != null && !Objects.equals(address, slot.scheduler())) {
				move(slot, server, address);
			}
		}
	}

	private void move(Slot slot, String server, @Nullable String address) {
		PeerMessage.HoldSlot hold = new PeerMessage.HoldSlot(slot.pool(), slot.request(), server);
		if (slot.scheduler() == null) {
			scheduler(slot.pool()).release(slot.request().id(), 0, false);
		}
		slot.setScheduler(address);
		if (address == null) {
			handle(hold);
		}
		else {
			this.peers.sendOneWay(address, hold);
		}
	}

	public int inFlightCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::inFlight).sum();
	}

	public int queuedCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::queued).sum();
	}

}

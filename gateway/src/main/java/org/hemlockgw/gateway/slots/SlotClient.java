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
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.pool.LeavingServers;
import org.hemlockgw.core.pool.PoolMember;
import org.hemlockgw.core.pool.PoolScheduler;
import org.hemlockgw.core.pool.ResponseTiming;
import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.pool.WithdrawnServers;
import org.hemlockgw.core.route.Pool;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Requests slots from the scheduler of a pool, which runs on the daemon that holds the
 * pool's shard. If that daemon can't be reached, the scheduler of this daemon decides
 * with the state that it has.
 */
public final class SlotClient {

	private static final Logger logger = LoggerFactory.getLogger(SlotClient.class);

	/**
	 * Timeout in milliseconds for the first reply of a scheduler; a round trip takes
	 * about two milliseconds.
	 */
	private static final long REPLY_TIMEOUT_MS = 150;

	/**
	 * Interval in milliseconds of the checks for waiting requests and for pools whose
	 * scheduler has moved to another daemon.
	 */
	private static final long TICK_INTERVAL_MS = 50;

	private static final double PERCENT = 100;

	private final Membership membership;

	private final PeerLinks peerLinks;

	private final LongSupplier nanoClock;

	private final SchedulerMetrics schedulerMetrics;

	private final Map<String, PoolScheduler> schedulers = new HashMap<>();

	private @Nullable RoutingTable configuration;

	private List<PoolMember> listedServers = List.of();

	private List<PoolMember> servers = List.of();

	private final LeavingServers leavingServers = new LeavingServers();

	private final WithdrawnServers withdrawnServers = new WithdrawnServers();

	private final Set<Slot> openSlots = new HashSet<>();

	public SlotClient(EventLoop loop, Membership membership, PeerLinks peerLinks, LongSupplier nanoClock,
			Metrics metrics) {
		this.membership = membership;
		this.peerLinks = peerLinks;
		this.nanoClock = nanoClock;
		this.schedulerMetrics = new SchedulerMetrics(metrics);
		loop.scheduleAtFixedRate(this::checkSlots, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Replaces the list of all backend servers.
	 * @param servers the complete list
	 */
	public void updateServers(List<PoolMember> servers) {
		this.listedServers = List.copyOf(servers);
		applyServers(this.leavingServers.apply(servers));
	}

	private void applyServers(List<PoolMember> members) {
		this.servers = List.copyOf(members);
		this.withdrawnServers.update(members);
		Map<String, List<PoolMember>> byPool = new HashMap<>();
		this.schedulers.keySet().forEach((pool) -> byPool.put(pool, new ArrayList<>()));
		members.forEach((member) -> byPool.computeIfAbsent(member.pool(), (pool) -> new ArrayList<>()).add(member));
		byPool.forEach((pool, list) -> scheduler(pool).updateServers(list));
	}

	/**
	 * Records that a server has stated that it is leaving, and notifies the other
	 * daemons. It receives no new requests from then on.
	 * @param server the server
	 */
	public void recordLeaving(ServerProcess server) {
		if (addLeaving(server.server(), server.startedAtMs())) {
			PeerMessage.ServerLeaving leaving = new PeerMessage.ServerLeaving(server.server(), server.startedAtMs());
			this.membership.peerAddresses().forEach((peer) -> this.peerLinks.sendOneWay(peer, leaving));
		}
	}

	public void handle(PeerMessage.ServerLeaving leaving) {
		addLeaving(leaving.server(), leaving.startedAtMs());
	}

	private boolean addLeaving(String server, long startedAtMs) {
		boolean added = this.leavingServers.add(server, startedAtMs);
		if (added) {
			logger.atInfo().addKeyValue(LogFields.SERVER, server).log("server has stated that it is leaving");
			applyServers(this.leavingServers.apply(this.listedServers));
		}
		return added;
	}

	/**
	 * Returns the servers of a pool that meet a condition.
	 * @param pool name of the pool
	 * @param condition the condition
	 * @return identifiers of the servers
	 */
	public Set<String> findServers(String pool, Predicate<PoolMember> condition) {
		Set<String> found = new HashSet<>();
		for (PoolMember member : this.servers) {
			if (member.pool().equals(pool) && condition.test(member)) {
				found.add(member.id());
			}
		}
		return found;
	}

	/**
	 * Returns the process of a granted server.
	 * @param server identifier of the server
	 * @param address its IP address and port
	 * @return the process
	 */
	public ServerProcess findProcess(String server, String address) {
		for (PoolMember member : this.servers) {
			if (member.id().equals(server)) {
				return new ServerProcess(server, address, member.startedAtMs());
			}
		}
		return new ServerProcess(server, address, 0);
	}

	/**
	 * Returns whether a granted server must not be used, because this daemon knows more
	 * about it than the scheduler.
	 * @param server identifier of the server
	 * @return true if the server is draining, leaving or was removed
	 */
	public boolean isWithdrawn(String server) {
		return this.withdrawnServers.contains(server) || (!isListed(server) && this.leavingServers.contains(server, 0));
	}

	private boolean isListed(String server) {
		return this.servers.stream().anyMatch((member) -> member.id().equals(server));
	}

	private PoolScheduler scheduler(String pool) {
		return this.schedulers.computeIfAbsent(pool, (name) -> {
			PoolScheduler created = new PoolScheduler(this.nanoClock, this.schedulerMetrics);
			created.setMemoryTokens(memoryTokens(name));
			return created;
		});
	}

	private int memoryTokens(String pool) {
		Pool configured = (this.configuration != null) ? this.configuration.findPool(pool) : null;
		return (configured != null) ? configured.memoryTokens() : 0;
	}

	/**
	 * Replaces the configuration, which states the memory of the servers.
	 * @param next the configuration
	 */
	public void updateConfiguration(RoutingTable next) {
		this.configuration = next;
		this.schedulers.forEach((pool, scheduler) -> scheduler.setMemoryTokens(memoryTokens(pool)));
	}

	private @Nullable String schedulerAddress(String pool) {
		return this.membership.holderAddress(this.membership.shardOf(pool));
	}

	/**
	 * Requests a slot.
	 * @param pool name of the pool
	 * @param request the request
	 * @param listener receives the outcome once
	 * @return handle for {@link #release}
	 */
	public Slot acquire(String pool, SlotRequest request, Consumer<SlotDecision> listener) {
		String address = schedulerAddress(pool);
		Slot slot = new Slot(pool, request, address);
		this.openSlots.add(slot);
		if (address == null) {
			acquireLocally(slot, listener);
			return slot;
		}
		this.peerLinks.request(address, new PeerMessage.AcquireSlot(pool, request), REPLY_TIMEOUT_MS,
				new ReplyListener() {
					@Override
					public void onReply(PeerMessage message) {
						if (!(message instanceof PeerMessage.SlotAnswered answered)
								|| !SlotClient.this.openSlots.contains(slot)) {
							return;
						}
						SlotDecision outcome = answered.answer();
						if (outcome == null) {
							onFailure("daemon does not schedule pool " + pool);
							return;
						}
						handleAnswer(slot, outcome, listener);
					}

					@Override
					public void onFailure(String cause) {
						if (SlotClient.this.openSlots.contains(slot)) {
							// It may have granted or queued the request although its
							// reply is
							// missing.
							SlotClient.this.peerLinks.sendOneWay(address,
									new PeerMessage.ReleaseSlot(pool, request.id(), ResponseTiming.NONE, false));
							logger.atInfo()
								.addKeyValue(LogFields.REQUEST, request.id())
								.addKeyValue(LogFields.POOL, pool)
								.addKeyValue(LogFields.PEER, address)
								.addKeyValue(LogFields.REASON, cause)
								.log("scheduler can't be reached; using the scheduler of this daemon");
							SlotClient.this.membership.refresh();
							slot.setScheduler(null);
							acquireLocally(slot, listener);
						}
					}
				});
		return slot;
	}

	private void acquireLocally(Slot slot, Consumer<SlotDecision> listener) {
		scheduler(slot.pool()).submit(slot.request(), (outcome) -> handleAnswer(slot, outcome, listener));
	}

	private void handleAnswer(Slot slot, SlotDecision outcome, Consumer<SlotDecision> listener) {
		if (outcome.serverId() == null) {
			this.openSlots.remove(slot);
		}
		else {
			slot.setServer(outcome.serverId());
		}
		listener.accept(outcome);
	}

	/**
	 * Releases a granted slot or cancels the request for it.
	 * @param slot the slot
	 * @param timing size and timing of the response
	 * @param failed whether the server failed
	 */
	public void release(Slot slot, ResponseTiming timing, boolean failed) {
		if (!this.openSlots.remove(slot)) {
			return;
		}
		String address = slot.scheduler();
		PeerMessage.ReleaseSlot releaseSlot = new PeerMessage.ReleaseSlot(slot.pool(), slot.request().id(), timing,
				failed);
		if (address == null) {
			handle(releaseSlot);
		}
		else {
			this.peerLinks.sendOneWay(address, releaseSlot);
		}
	}

	/**
	 * Handles another daemon's request for a slot.
	 * @param acquire the request
	 * @param reply receives {@link PeerMessage.SlotQueued} if the request has to wait,
	 * then {@link PeerMessage.SlotAnswered}
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

	public void handle(PeerMessage.ReleaseSlot releaseSlot) {
		PoolScheduler scheduler = scheduler(releaseSlot.pool());
		scheduler.cancel(releaseSlot.request());
		scheduler.release(releaseSlot.request(), releaseSlot.timing(), releaseSlot.failed());
	}

	public void handle(PeerMessage.HoldSlot holdSlot) {
		scheduler(holdSlot.pool()).restoreGrant(holdSlot.request(), holdSlot.server());
	}

	/**
	 * Releases the slots of a daemon whose connection was lost, and cancels its requests.
	 * @param holder name of the daemon
	 */
	public void releaseAll(String holder) {
		List.copyOf(this.schedulers.values()).forEach((scheduler) -> scheduler.releaseAll(holder));
	}

	private void checkSlots() {
		List.copyOf(this.schedulers.values()).forEach(PoolScheduler::expireOverdue);
		for (Slot slot : List.copyOf(this.openSlots)) {
			String server = slot.server();
			String address = schedulerAddress(slot.pool());
			if (server != null && !Objects.equals(address, slot.scheduler())) {
				moveSlot(slot, server, address);
			}
		}
	}

	private void moveSlot(Slot slot, String server, @Nullable String address) {
		PeerMessage.HoldSlot holdSlot = new PeerMessage.HoldSlot(slot.pool(), slot.request(), server);
		if (slot.scheduler() == null) {
			scheduler(slot.pool()).release(slot.request().id(), 0, false);
		}
		slot.setScheduler(address);
		if (address == null) {
			handle(holdSlot);
		}
		else {
			this.peerLinks.sendOneWay(address, holdSlot);
		}
	}

	public int inFlightCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::inFlight).sum();
	}

	/**
	 * Sets the gauges of the placement by the schedulers of this daemon.
	 * @param metrics receives the gauges
	 */
	public void renderPlacement(Metrics metrics) {
		this.schedulers.forEach((pool, scheduler) -> {
			scheduler.placementStatistics()
				.counters()
				.forEach((name, value) -> metrics.setGauge(Metrics.withLabel(name, "pool", pool), value));
			metrics.setGauge(Metrics.withLabel("server_share_highest_percent", "pool", pool),
					Math.round(PERCENT * scheduler.highestExcess()));
		});
	}

	/**
	 * Returns how far the account served last is behind the one served most, for the
	 * scheduler where this is most.
	 * @return time in a slot in milliseconds
	 */
	public long fairShareLagMs() {
		return this.schedulers.values().stream().mapToLong(PoolScheduler::fairShareLagMs).max().orElse(0);
	}

	public int queuedCount() {
		return this.schedulers.values().stream().mapToInt(PoolScheduler::queued).sum();
	}

}

package org.hemlockgw.gateway.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.account.ClientAccount;
import org.hemlockgw.core.account.RateLimit;
import org.hemlockgw.core.account.RateLimitBounds;
import org.hemlockgw.core.quota.ClockReading;
import org.hemlockgw.core.quota.HolderState;
import org.hemlockgw.core.quota.PermitDecision;
import org.hemlockgw.core.quota.PermitRequest;
import org.hemlockgw.core.quota.ShardPermits;
import org.hemlockgw.core.quota.ShardPermitsState;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.gateway.owner.AssignmentListener;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.owner.PreviousHolder;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Grants permits for the client accounts of the shards that this daemon holds. Confined
 * to the event loop.
 */
public final class PermitHolder implements AssignmentListener {

	private static final Logger logger = LoggerFactory.getLogger(PermitHolder.class);

	/**
	 * Timeout in milliseconds for the state of the previous holder; a round trip takes
	 * about 11 ms between data centres.
	 */
	private static final long HANDOVER_TIMEOUT_MS = 300;

	/**
	 * Interval in milliseconds at which a waiting holder asks the previous one, which may
	 * not be known at first.
	 */
	private static final long HANDOVER_RETRY_MS = 100;

	private final EventLoop loop;

	private final Membership membership;

	private final PeerLinks peerLinks;

	private final Supplier<@Nullable RoutingTable> routes;

	private final Supplier<ClockReading> clock;

	private final RateLimitBounds bounds;

	private final Metrics metrics;

	private final Map<Integer, ShardPermits> shards = new HashMap<>();

	// Generations of the handovers that wait for an answer, by shard.
	private final Map<Integer, Long> handovers = new HashMap<>();

	private final Map<Integer, HolderState> loggedStates = new HashMap<>();

	/**
	 * Creates a holder of no shards.
	 * @param loop event loop
	 * @param membership assignment of shards to daemons
	 * @param peerLinks connections to other daemons
	 * @param routes current routing table; null before a configuration is received
	 * @param clock reads both clocks
	 * @param bounds accuracy of rate limits
	 * @param metrics metrics of this daemon
	 */
	public PermitHolder(EventLoop loop, Membership membership, PeerLinks peerLinks,
			Supplier<@Nullable RoutingTable> routes, Supplier<ClockReading> clock, RateLimitBounds bounds,
			Metrics metrics) {
		this.loop = loop;
		this.membership = membership;
		this.peerLinks = peerLinks;
		this.routes = routes;
		this.clock = clock;
		this.bounds = bounds;
		this.metrics = metrics;
	}

	@Override
	public void assigned(ShardAssignment assignment, ClockReading sent) {
		this.shards.forEach((number, permits) -> {
			if (!assignment.shards().contains(number)) {
				permits.lose();
			}
		});
		for (int number : assignment.shards()) {
			ShardPermits permits = this.shards.computeIfAbsent(number,
					(key) -> new ShardPermits(this.clock, this::findCap, this.bounds));
			if (permits.confirm(assignment.generation(), sent)) {
				continueWaiting(number, permits, assignment.generation());
			}
		}
		if (hasAccounts()) {
			this.shards.forEach(this::logChange);
		}
	}

	@Override
	public void released() {
		this.shards.values().forEach(ShardPermits::lose);
	}

	private @Nullable RateLimit findCap(String account) {
		RoutingTable table = this.routes.get();
		if (table == null || table.accounts() == null) {
			return null;
		}
		ClientAccount found = table.accounts().findByName(account);
		return (found != null) ? found.cap() : null;
	}

	private boolean hasAccounts() {
		RoutingTable table = this.routes.get();
		return table != null && table.accounts() != null;
	}

	private void logChange(int number, ShardPermits permits) {
		HolderState state = permits.state();
		if (this.loggedStates.put(number, state) != state) {
			logger.atInfo()
				.addKeyValue(LogFields.SHARD, number)
				.addKeyValue(LogFields.REASON, state)
				.log("state as holder of client accounts has changed");
			this.metrics.increment(Metrics.withLabel("permit_holder_changes", "state", state));
		}
	}

	// Configuration and previous holder may become known only while the holder waits.
	private void continueWaiting(int number, ShardPermits permits, long generation) {
		if (permits.state() != HolderState.WAITING || permits.acquiredGeneration() != generation) {
			return;
		}
		long waitNanos = permits.remainingWaitNanos();
		if (hasAccounts()) {
			askPrevious(number, permits, generation);
			if (waitNanos <= 0) {
				// Only a join that is sent from now on starts this holder.
				this.membership.refresh();
			}
		}
		long retryNanos = TimeUnit.MILLISECONDS.toNanos(HANDOVER_RETRY_MS);
		long delayNanos = (waitNanos > 0) ? Math.min(waitNanos, retryNanos) : retryNanos;
		this.loop.schedule(() -> continueWaiting(number, permits, generation), delayNanos, TimeUnit.NANOSECONDS);
	}

	private void askPrevious(int number, ShardPermits permits, long generation) {
		PreviousHolder previous = this.membership.previousHolder(number);
		Long asked = this.handovers.get(number);
		if (previous == null || (asked != null && asked == generation)) {
			return;
		}
		this.handovers.put(number, generation);
		this.peerLinks.request(previous.address(), new PeerMessage.AccountsHandover(number, generation),
				HANDOVER_TIMEOUT_MS, new ReplyListener() {
					@Override
					public void onReply(PeerMessage message) {
						PermitHolder.this.handovers.remove(number, generation);
						if (message instanceof PeerMessage.AccountsHandedOver handed && handed.state() != null) {
							permits.previousAnswered(generation, handed.state());
							logChange(number, permits);
						}
					}

					@Override
					public void onRefused(String cause) {
						PermitHolder.this.handovers.remove(number, generation);
						permits.previousEnded(generation, previous.generation(), previous.sinceNanos());
						logChange(number, permits);
					}

					@Override
					public void onFailure(String cause) {
						PermitHolder.this.handovers.remove(number, generation);
					}
				});
	}

	/**
	 * Decides about a request.
	 * @param request the request
	 * @return the decision
	 */
	PermitDecision decide(PermitRequest request) {
		int number = this.membership.shardOf(request.account());
		ShardPermits permits = this.shards.get(number);
		if (permits == null || !isAssigned(number)) {
			return PermitDecision.NOT_HOLDER;
		}
		if (this.routes.get() == null) {
			return PermitDecision.NOT_READY;
		}
		PermitDecision decision = permits.decide(request);
		this.metrics.increment(Metrics.withLabel("permit_decisions", "status", decision.status()));
		return decision;
	}

	/**
	 * Returns whether this daemon holds a shard or waits to start.
	 * @param shard number of the shard
	 * @return whether the shard is assigned to this daemon
	 */
	private boolean isAssigned(int shard) {
		ShardPermits permits = this.shards.get(shard);
		return permits != null && permits.state() != HolderState.NOT_HOLDER;
	}

	/**
	 * Handles another daemon's request for a permit.
	 * @param ask the request
	 * @param reply receives {@link PeerMessage.PermitAnswered}
	 */
	public void handle(PeerMessage.AskPermit ask, Consumer<PeerMessage> reply) {
		reply.accept(new PeerMessage.PermitAnswered(decide(ask.request())));
	}

	/**
	 * Credits a permit whose request has not run and never will.
	 * @param message the returned permit
	 */
	public void handle(PeerMessage.ReturnPermit message) {
		ShardPermits permits = this.shards.get(this.membership.shardOf(message.account()));
		boolean credited = permits != null && permits.giveBack(message.account(), message.permit());
		this.metrics.increment(Metrics.withLabel("permits_returned", "credited", credited));
	}

	/**
	 * Hands the accounts of a shard over to its new holder.
	 * @param handover request of the new holder
	 * @param reply receives {@link PeerMessage.AccountsHandedOver}
	 */
	public void handle(PeerMessage.AccountsHandover handover, Consumer<PeerMessage> reply) {
		ShardPermits permits = this.shards.get(handover.shard());
		ShardPermitsState state = (permits != null) ? permits.handOver(handover.generation()) : null;
		reply.accept(new PeerMessage.AccountsHandedOver(state));
	}

}

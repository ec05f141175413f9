package org.hemlockgw.gateway.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.quota.PermitDecision;
import org.hemlockgw.core.quota.PermitRequest;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * Requests permits from the holders of client accounts.
 */
public final class PermitClient {

	/**
	 * Timeout in milliseconds for one reply; a round trip takes about 11 ms between data
	 * centres. A lost message is repeated well within the wait of a request.
	 */
	private static final long REPLY_TIMEOUT_MS = 60;

	/** Delay in milliseconds before a holder that can't decide is asked again. */
	private static final long FIRST_DELAY_MS = 50;

	/** Maximum of that delay in milliseconds, which doubles each time. */
	private static final long MAX_DELAY_MS = 200;

	/** Maximum number of accounts that have a metric of their own. */
	private static final int MAX_LABELS = 100;

	// Shards whose holder can't decide; one request asks for all that wait for it.
	private final Map<Integer, HolderProbe> probes = new HashMap<>();

	private final Set<String> labels = new HashSet<>();

	private final EventLoop loop;

	private final Membership membership;

	private final PeerLinks peerLinks;

	private final PermitHolder holder;

	public PermitClient(EventLoop loop, Membership membership, PeerLinks peerLinks, PermitHolder holder) {
		this.loop = loop;
		this.membership = membership;
		this.peerLinks = peerLinks;
		this.holder = holder;
	}

	/**
	 * Requests a permit.
	 * @param request the request
	 * @param waitMs maximum time in milliseconds
	 * @param listener receives the decision once, unless the permit is closed before;
	 * {@link PermitDecision#NOT_READY} if no holder has decided in time
	 * @return handle of the permit
	 */
	public Permit ask(PermitRequest request, long waitMs, Consumer<PermitDecision> listener) {
		Permit permit = new Permit(request, listener);
		permit.timer = this.loop.schedule(permit::expire, waitMs, TimeUnit.MILLISECONDS);
		HolderProbe probe = this.probes.get(permit.shard);
		if (probe != null) {
			probe.add(permit);
		}
		else {
			permit.send();
		}
		return permit;
	}

	/**
	 * Returns the label of an account in metrics, of which there is a limited number.
	 * @param account name of the account
	 * @return the name, or "other"
	 */
	public String metricLabel(String account) {
		boolean known = this.labels.contains(account);
		return (known || (this.labels.size() < MAX_LABELS && this.labels.add(account))) ? account : "other";
	}

	private void await(Permit permit) {
		this.probes.computeIfAbsent(permit.shard, HolderProbe::new).add(permit);
	}

	/**
	 * Requests that wait for a holder of a shard. The first of them asks again after a
	 * growing delay; the others follow when it is decided.
	 */
	private final class HolderProbe {

		private final int shard;

		private final Set<Permit> waiting = new LinkedHashSet<>();

		private long delayMs = FIRST_DELAY_MS;

		HolderProbe(int shard) {
			this.shard = shard;
			schedule();
		}

		void add(Permit permit) {
			this.waiting.add(permit);
		}

		private void schedule() {
			PermitClient.this.loop.schedule(this::run, this.delayMs, TimeUnit.MILLISECONDS);
			this.delayMs = Math.min(MAX_DELAY_MS, 2 * this.delayMs);
		}

		private void run() {
			this.waiting.removeIf(Permit::isDone);
			if (this.waiting.isEmpty()) {
				PermitClient.this.probes.remove(this.shard, this);
				return;
			}
			Permit first = this.waiting.iterator().next();
			this.waiting.remove(first);
			first.probe = this;
			first.send();
		}

		void answered(Permit first, boolean ready) {
			first.probe = null;
			if (!ready) {
				this.waiting.add(first);
				schedule();
				return;
			}
			PermitClient.this.probes.remove(this.shard, this);
			this.waiting.forEach(Permit::send);
		}

	}

	/**
	 * Permit of one request.
	 */
	public final class Permit implements ReplyListener {

		private final PermitRequest request;

		private final Consumer<PermitDecision> listener;

		private @Nullable PermitDecision decision;

		private final int shard;

		private @Nullable String address;

		private @Nullable Future<?> timer;

		private @Nullable HolderProbe probe;

		private boolean repeated;

		private boolean closed;

		private Permit(PermitRequest request, Consumer<PermitDecision> listener) {
			this.request = request;
			this.listener = listener;
			this.shard = PermitClient.this.membership.shardOf(request.account());
		}

		private boolean isDone() {
			return this.closed || this.decision != null;
		}

		private void send() {
			if (isDone()) {
				return;
			}
			this.address = PermitClient.this.membership.holderAddress(this.shard);
			if (this.address == null) {
				// The listener must not be called before the caller has the permit.
				PermitClient.this.loop.execute(() -> decided(PermitClient.this.holder.decide(this.request)));
				return;
			}
			PermitClient.this.peerLinks.request(this.address, new PeerMessage.AskPermit(this.request), REPLY_TIMEOUT_MS,
					this);
		}

		@Override
		public void onReply(PeerMessage message) {
			if (message instanceof PeerMessage.PermitAnswered answered) {
				decided(answered.decision());
			}
		}

		@Override
		public boolean acceptsLateReply() {
			return true;
		}

		@Override
		public void onLateReply(PeerMessage message) {
			if (message instanceof PeerMessage.PermitAnswered answered && answered.decision().permit() != 0) {
				decided(answered.decision());
			}
		}

		// The request or its answer may have been lost.
		@Override
		public void onFailure(String cause) {
			if (!isDone() && !this.repeated) {
				this.repeated = true;
				send();
				return;
			}
			PermitClient.this.membership.refresh();
			retry();
		}

		@Override
		public void onRefused(String cause) {
			PermitClient.this.membership.refresh();
			retry();
		}

		private void decided(PermitDecision newDecision) {
			if (newDecision.status() == PermitDecision.Status.NOT_HOLDER) {
				PermitClient.this.membership.refresh();
				retry();
				return;
			}
			if (newDecision.status() == PermitDecision.Status.NOT_READY) {
				retry();
				return;
			}
			if (this.probe != null) {
				this.probe.answered(this, true);
			}
			if (isDone()) {
				giveBack(newDecision);
				return;
			}
			this.decision = newDecision;
			cancelTimer();
			this.listener.accept(newDecision);
		}

		private void retry() {
			if (this.probe != null) {
				this.probe.answered(this, false);
			}
			else if (!isDone()) {
				PermitClient.this.await(this);
			}
		}

		private void expire() {
			if (!isDone()) {
				this.decision = PermitDecision.NOT_READY;
				this.listener.accept(PermitDecision.NOT_READY);
			}
		}

		private void cancelTimer() {
			if (this.timer != null) {
				this.timer.cancel(false);
			}
		}

		/**
		 * Ends the use of the permit.
		 * @param mayHaveRun whether the request may have run; otherwise the permit is
		 * returned
		 */
		public void close(boolean mayHaveRun) {
			if (!this.closed) {
				this.closed = true;
				cancelTimer();
				if (this.decision != null && !mayHaveRun) {
					giveBack(this.decision);
				}
			}
		}

		private void giveBack(PermitDecision granted) {
			if (granted.permit() == 0) {
				return;
			}
			PeerMessage.ReturnPermit message = new PeerMessage.ReturnPermit(this.request.account(), granted.permit());
			if (this.address == null) {
				PermitClient.this.holder.handle(message);
			}
			else {
				PermitClient.this.peerLinks.sendOneWay(this.address, message);
			}
		}

	}

}

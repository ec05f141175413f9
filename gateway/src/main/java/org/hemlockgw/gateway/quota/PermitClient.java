package org.hemlockgw.gateway.quota;

import java.util.HashSet;
import java.util.Set;
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
	 * centres.
	 */
	private static final long REPLY_TIMEOUT_MS = 150;

	/** Delay in milliseconds before a holder is asked again. */
	private static final long RETRY_DELAY_MS = 20;

	/** Maximum number of accounts that have a metric of their own. */
	private static final int MAX_LABELS = 100;

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
		this.loop.schedule(permit::expire, waitMs, TimeUnit.MILLISECONDS);
		permit.send();
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

	/**
	 * Permit of one request.
	 */
	public final class Permit implements ReplyListener {

		private final PermitRequest request;

		private final Consumer<PermitDecision> listener;

		private @Nullable PermitDecision decision;

		private @Nullable String address;

		private boolean closed;

		private Permit(PermitRequest request, Consumer<PermitDecision> listener) {
			this.request = request;
			this.listener = listener;
		}

		private void send() {
			if (this.closed || this.decision != null) {
				return;
			}
			Membership members = PermitClient.this.membership;
			this.address = members.holderAddress(members.shardOf(this.request.account()));
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
		public void onFailure(String cause) {
			retry();
		}

		private void decided(PermitDecision newDecision) {
			if (newDecision.status() == PermitDecision.Status.NOT_READY) {
				retry();
			}
			else if (this.closed || this.decision != null) {
				giveBack(newDecision);
			}
			else {
				this.decision = newDecision;
				this.listener.accept(newDecision);
			}
		}

		private void retry() {
			if (!this.closed && this.decision == null) {
				PermitClient.this.membership.refresh();
				PermitClient.this.loop.schedule(this::send, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
			}
		}

		private void expire() {
			if (!this.closed && this.decision == null) {
				this.decision = PermitDecision.NOT_READY;
				this.listener.accept(PermitDecision.NOT_READY);
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

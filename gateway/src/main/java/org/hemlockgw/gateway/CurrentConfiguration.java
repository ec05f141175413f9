package org.hemlockgw.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.account.ConfigurationProof;
import org.hemlockgw.core.account.PeerProofSchedule;
import org.hemlockgw.core.account.ProofSource;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Configuration in force, and the proof that it is the newest one. The proof is renewed
 * by the store or, if that fails, by other daemons. Confined to the event loop.
 */
final class CurrentConfiguration implements ConfigurationSource.Listener {

	private static final Logger logger = LoggerFactory.getLogger(CurrentConfiguration.class);

	/** Interval in milliseconds at which the age of the proof is checked. */
	private static final long CHECK_INTERVAL_MS = 100;

	/**
	 * Time in milliseconds for a reply of another daemon; the latency between data
	 * centres is 6 ms at most, and a busy daemon may take 100 ms.
	 */
	private static final long REPLY_TIMEOUT_MS = 300;

	/**
	 * Time in milliseconds for a reply that contains a document of up to 4 MB. The next
	 * daemon is asked before.
	 */
	private static final long DOCUMENT_TIMEOUT_MS = 2000;

	/**
	 * Maximum number of replies that are awaited; each may contain a document. Three
	 * requests are made per second, and an address that doesn't answer fails after 500
	 * ms.
	 */
	private static final int MAX_PENDING_REPLIES = 3;

	/**
	 * Time after the start in which other daemons are not asked. The first read from the
	 * store takes less than that.
	 */
	private static final Duration START_DELAY = Duration.ofMillis(500);

	private static final long NO_PROOF = -1;

	private static final long NO_VERSION = Long.MIN_VALUE;

	private final EventLoop loop;

	private final ConfigurationProof proof;

	private final Membership membership;

	private final PeerLinks peerLinks;

	private final Metrics metrics;

	private @Nullable ConfigurationSource source;

	private @Nullable RoutingTable table;

	private byte @Nullable [] document;

	private long documentDigest;

	// Whether the newest document of the store was rejected although it is valid.
	private boolean rejected;

	private byte @Nullable [] rejectedDocument;

	private long rejectedPeerDigest;

	private boolean proofMissing;

	private int pendingReplies;

	CurrentConfiguration(EventLoop loop, ConfigurationProof proof, Membership membership, PeerLinks peerLinks,
			Metrics metrics) {
		this.loop = loop;
		this.proof = proof;
		this.membership = membership;
		this.peerLinks = peerLinks;
		this.metrics = metrics;
	}

	void start(ConfigurationSource newSource) {
		this.source = newSource;
		newSource.watch(this.proof.clock(), this);
		Duration bound = this.proof.bound();
		if (bound != null) {
			PeerProofSchedule schedule = new PeerProofSchedule(bound,
					this.proof.clock().getAsLong() + START_DELAY.toNanos(), this.membership.self().text().hashCode());
			this.loop.scheduleAtFixedRate(() -> check(schedule), CHECK_INTERVAL_MS, CHECK_INTERVAL_MS,
					TimeUnit.MILLISECONDS);
		}
	}

	@Nullable RoutingTable table() {
		return this.table;
	}

	/**
	 * Returns whether callers should use this daemon. An outage of the store that affects
	 * all daemons must not withdraw public routes for its whole length, so a daemon
	 * without a proof becomes ready again after a while.
	 * @return false without a configuration, or if the proof expired recently
	 */
	boolean isReady() {
		return this.table != null && (this.table.accounts() == null || !this.proof.isRecentlyLost());
	}

	/**
	 * Returns the age of the newest proof.
	 * @return age in milliseconds; -1 without a proof
	 */
	long proofAgeMs() {
		long age = this.proof.ageNanos();
		return (age == Long.MAX_VALUE) ? NO_PROOF : TimeUnit.NANOSECONDS.toMillis(age) + 1;
	}

	@Override
	public void changed(RoutingTable next, byte[] nextDocument) {
		RoutingTable current = this.table;
		if (current != null && Arrays.equals(nextDocument, this.document)) {
			this.rejected = false;
			return;
		}
		if (current != null && next.version() <= current.version()) {
			reject(next, nextDocument, current);
			return;
		}
		this.rejected = false;
		this.table = next;
		this.document = nextDocument;
		this.documentDigest = digest(nextDocument);
		logger.atInfo()
			.addKeyValue(LogFields.CONFIGURATION, next.version())
			.addKeyValue(LogFields.REASON, (current != null) ? "replaces " + current.version() : "first")
			.log("configuration applied");
	}

	// The document in force is no longer the newest one, so the store does not prove it.
	private void reject(RoutingTable next, byte[] nextDocument, RoutingTable current) {
		this.rejected = true;
		if (Arrays.equals(nextDocument, this.rejectedDocument)) {
			return;
		}
		this.rejectedDocument = nextDocument;
		logger.atWarn()
			.addKeyValue(LogFields.CONFIGURATION, next.version())
			.addKeyValue(LogFields.REASON,
					"its version is not higher than " + current.version() + ", which is in force")
			.log("configuration rejected");
	}

	private static long digest(byte[] bytes) {
		try {
			return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform must support SHA-256", ex);
		}
	}

	@Override
	public void confirmed(long sentNanos, ProofSource proofSource) {
		if (this.rejected && proofSource != ProofSource.PEER) {
			return;
		}
		this.proof.record(sentNanos);
		this.metrics.increment(
				Metrics.withLabel("configuration_proofs", "source", proofSource.name().toLowerCase(Locale.ROOT)));
	}

	private void check(PeerProofSchedule schedule) {
		long now = this.proof.clock().getAsLong();
		boolean withoutAccounts = this.table != null && this.table.accounts() == null;
		if (!withoutAccounts) {
			handleChangedValidity();
		}
		if (this.pendingReplies >= MAX_PENDING_REPLIES) {
			return;
		}
		long age = this.proof.ageNanos();
		String peer = withoutAccounts ? schedule.nextWithoutAccounts(now, age, this.membership::peerAddresses)
				: schedule.next(now, age, this.membership.isStoreUnavailable(), this.membership::peerAddresses);
		if (peer != null) {
			requestProof(schedule, peer, now);
		}
	}

	private void handleChangedValidity() {
		boolean missing = !this.proof.isValid();
		if (this.table == null || missing == this.proofMissing) {
			return;
		}
		this.proofMissing = missing;
		// After a step of the wall clock the store still answers, and the pending poll
		// may
		// take 1.5 s.
		if (missing && this.source != null) {
			this.source.refresh();
		}
		logger.atWarn()
			.addKeyValue(LogFields.CONFIGURATION, this.table.version())
			.log(missing ? "configuration may be out of date; requests with a key are refused"
					: "configuration is known to be the newest one again");
	}

	private void requestProof(PeerProofSchedule schedule, String peer, long sentNanos) {
		long version = (this.table != null) ? this.table.version() : NO_VERSION;
		ProofCall call = new ProofCall(schedule, peer, sentNanos);
		this.pendingReplies++;
		this.loop.schedule(call::handleDelay, REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		this.peerLinks.request(peer, new PeerMessage.ProofRequest(version, this.documentDigest), DOCUMENT_TIMEOUT_MS,
				call);
	}

	boolean use(PeerMessage.ProofReply reply, String peer, long sentNanos) {
		if (reply.ageMs() < 0 || reply.ageMs() > TimeUnit.NANOSECONDS.toMillis(Long.MAX_VALUE)) {
			return false;
		}
		if (reply.document() != null && (this.table == null || this.table.version() < reply.version())) {
			adopt(reply.document(), peer);
		}
		// Another document proves nothing: a rejected one may lie between both.
		if (this.table == null || this.table.version() != reply.version() || this.documentDigest != reply.digest()) {
			return false;
		}
		confirmed(sentNanos - TimeUnit.MILLISECONDS.toNanos(reply.ageMs()), ProofSource.PEER);
		return this.proof.isValid();
	}

	private void adopt(byte[] newDocument, String peer) {
		long digest = digest(newDocument);
		if (digest == this.rejectedPeerDigest) {
			return;
		}
		try {
			if (this.source != null) {
				changed(this.source.parse(newDocument), newDocument);
			}
		}
		catch (IOException ex) {
			this.rejectedPeerDigest = digest;
			logger.atWarn()
				.addKeyValue(LogFields.PEER, peer)
				.addKeyValue(LogFields.REASON, ex.getMessage())
				.log("ignoring an invalid configuration of a peer daemon");
		}
	}

	/**
	 * Handles the request of another daemon for a proof.
	 * @param request the request
	 * @param reply receives the reply
	 */
	void handle(PeerMessage.ProofRequest request, Consumer<PeerMessage> reply) {
		if (this.table == null) {
			reply.accept(new PeerMessage.ProofReply(NO_VERSION, 0, NO_PROOF, null));
			return;
		}
		boolean older = request.version() < this.table.version();
		reply.accept(new PeerMessage.ProofReply(this.table.version(), this.documentDigest, proofAgeMs(),
				older ? this.document : null));
	}

	/**
	 * A request for a proof. Its reply is used as long as it is awaited, but another
	 * daemon may be asked earlier.
	 */
	private final class ProofCall implements ReplyListener {

		private final PeerProofSchedule schedule;

		private final String peer;

		private final long sentNanos;

		private boolean settled;

		ProofCall(PeerProofSchedule schedule, String peer, long sentNanos) {
			this.schedule = schedule;
			this.peer = peer;
			this.sentNanos = sentNanos;
		}

		private void handleDelay() {
			if (!this.settled) {
				this.settled = true;
				this.schedule.failed(CurrentConfiguration.this.proof.clock().getAsLong());
			}
		}

		@Override
		public void onReply(PeerMessage message) {
			CurrentConfiguration.this.pendingReplies--;
			boolean useful = false;
			try {
				useful = message instanceof PeerMessage.ProofReply reply && use(reply, this.peer, this.sentNanos);
			}
			finally {
				if (!this.settled) {
					this.settled = true;
					this.schedule.replied(useful);
				}
			}
		}

		@Override
		public void onFailure(String cause) {
			CurrentConfiguration.this.pendingReplies--;
			handleDelay();
		}

	}

}

package org.hemlockgw.gateway;

import java.io.IOException;
import java.time.Duration;
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

	private final Consumer<RoutingTable> onApplied;

	private @Nullable ConfigurationSource source;

	private @Nullable RoutingTable table;

	private byte @Nullable [] document;

	private boolean proofMissing;

	CurrentConfiguration(EventLoop loop, ConfigurationProof proof, Membership membership, PeerLinks peerLinks,
			Metrics metrics, Consumer<RoutingTable> onApplied) {
		this.loop = loop;
		this.proof = proof;
		this.membership = membership;
		this.peerLinks = peerLinks;
		this.metrics = metrics;
		this.onApplied = onApplied;
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
	 * Returns whether all requests can be decided on.
	 * @return false without a configuration, or if keys can't be used
	 */
	boolean isReady() {
		return this.table != null && (this.table.accounts() == null || this.proof.isValid());
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
		if (current != null && next.version() <= current.version()) {
			return;
		}
		this.table = next;
		this.document = nextDocument;
		logger.atInfo()
			.addKeyValue(LogFields.CONFIGURATION, next.version())
			.addKeyValue(LogFields.REASON, (current != null) ? "replaces " + current.version() : "first")
			.log("configuration applied");
		this.onApplied.accept(next);
	}

	@Override
	public void confirmed(long sentNanos, ProofSource proofSource) {
		this.proof.record(sentNanos);
		this.metrics.increment(
				Metrics.withLabel("configuration_proofs", "source", proofSource.name().toLowerCase(Locale.ROOT)));
	}

	private void check(PeerProofSchedule schedule) {
		long now = this.proof.clock().getAsLong();
		if (this.table != null && this.table.accounts() == null) {
			return;
		}
		logChangedValidity();
		String peer = schedule.next(now, this.proof.ageNanos(), this.membership.isStoreUnavailable(),
				this.membership::peerAddresses);
		if (peer != null) {
			requestProof(schedule, peer, now);
		}
	}

	private void logChangedValidity() {
		boolean missing = !this.proof.isValid();
		if (this.table == null || missing == this.proofMissing) {
			return;
		}
		this.proofMissing = missing;
		logger.atWarn()
			.addKeyValue(LogFields.CONFIGURATION, this.table.version())
			.log(missing ? "configuration may be out of date; requests with a key are refused"
					: "configuration is known to be the newest one again");
	}

	private void requestProof(PeerProofSchedule schedule, String peer, long sentNanos) {
		long version = (this.table != null) ? this.table.version() : NO_VERSION;
		this.peerLinks.request(peer, new PeerMessage.ProofRequest(version), REPLY_TIMEOUT_MS, new ReplyListener() {
			@Override
			public void onReply(PeerMessage message) {
				schedule.replied(message instanceof PeerMessage.ProofReply reply && use(reply, peer, sentNanos));
			}

			@Override
			public void onFailure(String cause) {
				schedule.failed(CurrentConfiguration.this.proof.clock().getAsLong());
			}
		});
	}

	private boolean use(PeerMessage.ProofReply reply, String peer, long sentNanos) {
		if (reply.ageMs() < 0 || reply.ageMs() > TimeUnit.NANOSECONDS.toMillis(Long.MAX_VALUE)) {
			return false;
		}
		if (reply.document() != null && (this.table == null || this.table.version() < reply.version())) {
			adopt(reply.document(), peer);
		}
		// Another version proves nothing: a rejected document may lie between both.
		if (this.table == null || this.table.version() != reply.version()) {
			return false;
		}
		confirmed(sentNanos - TimeUnit.MILLISECONDS.toNanos(reply.ageMs()), ProofSource.PEER);
		return this.proof.isValid();
	}

	private void adopt(byte[] newDocument, String peer) {
		try {
			if (this.source != null) {
				changed(this.source.parse(newDocument), newDocument);
			}
		}
		catch (IOException ex) {
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
			reply.accept(new PeerMessage.ProofReply(NO_VERSION, NO_PROOF, null));
			return;
		}
		boolean older = request.version() < this.table.version();
		reply.accept(new PeerMessage.ProofReply(this.table.version(), proofAgeMs(), older ? this.document : null));
	}

}

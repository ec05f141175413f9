package org.hemlockgw.gateway.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.InstantSource;
import java.util.HexFormat;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.retry.CrashHistory;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Requests during which servers were lost, through any daemon. Requests without a body
 * are too common to tell apart.
 */
public final class CrashingRequests {

	private static final Logger logger = LoggerFactory.getLogger(CrashingRequests.class);

	/**
	 * Losses after which a request is sent to no further server; the platform allows
	 * three retries.
	 */
	private static final int MAX_LOSSES = 3;

	private final CrashHistory suspects = new CrashHistory(MAX_LOSSES);

	private final InstantSource clock;

	private final Membership membership;

	private final PeerLinks peers;

	public CrashingRequests(InstantSource clock, Membership membership, PeerLinks peers) {
		this.clock = clock;
		this.membership = membership;
		this.peers = peers;
	}

	boolean contains(FullHttpRequest request) {
		return !this.suspects.isEmpty() && request.content().isReadable()
				&& this.suspects.isQuarantined(digest(request), this.clock.instant());
	}

	/**
	 * Notes that a server was lost and tells the other daemons.
	 * @param request what it ran
	 * @param server the server
	 */
	void recordCrash(FullHttpRequest request, String server) {
		if (!request.content().isReadable()) {
			return;
		}
		PeerMessage.ServerLost lost = new PeerMessage.ServerLost(digest(request), server);
		handle(lost);
		this.membership.peerAddresses().forEach((peer) -> this.peers.sendOneWay(peer, lost));
	}

	/**
	 * Notes that a daemon has lost a server.
	 * @param lost the loss
	 */
	public void handle(PeerMessage.ServerLost lost) {
		logger.atInfo()
			.addKeyValue(LogFields.DIGEST, lost.digest())
			.addKeyValue(LogFields.SERVER, lost.server())
			.log("server was lost while it ran a request");
		this.suspects.recordCrash(lost.digest(), lost.server(), this.clock.instant());
	}

	private static String digest(FullHttpRequest request) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			sha.update(request.uri().getBytes(StandardCharsets.UTF_8));
			sha.update((byte) 0);
			return HexFormat.of().formatHex(sha.digest(ByteBufUtil.getBytes(request.content())), 0, 16);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}

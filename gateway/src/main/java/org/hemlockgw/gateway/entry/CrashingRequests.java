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
 * Tracks requests during which backend servers were lost, as seen by any daemon. Requests
 * without a body are not tracked: too many of them are identical.
 */
public final class CrashingRequests {

	private static final Logger logger = LoggerFactory.getLogger(CrashingRequests.class);

	/**
	 * Number of server losses after which a request is sent to no further server; the
	 * platform allows three retries.
	 */
	private static final int MAX_SERVER_LOSSES = 3;

	private final CrashHistory crashHistory = new CrashHistory(MAX_SERVER_LOSSES);

	private final InstantSource clock;

	private final Membership membership;

	private final PeerLinks peerLinks;

	public CrashingRequests(InstantSource clock, Membership membership, PeerLinks peerLinks) {
		this.clock = clock;
		this.membership = membership;
		this.peerLinks = peerLinks;
	}

	boolean contains(FullHttpRequest request) {
		return !this.crashHistory.isEmpty() && request.content().isReadable()
				&& this.crashHistory.isQuarantined(digest(request), this.clock.instant());
	}

	/**
	 * Records that a server was lost while it ran a request, and notifies the other
	 * daemons.
	 * @param request request that the server ran
	 * @param server identifier of the server
	 */
	void recordCrash(FullHttpRequest request, String server) {
		if (!request.content().isReadable()) {
			return;
		}
		PeerMessage.ServerLost lost = new PeerMessage.ServerLost(digest(request), server);
		handle(lost);
		this.membership.peerAddresses().forEach((peer) -> this.peerLinks.sendOneWay(peer, lost));
	}

	/**
	 * Records the loss of a server, reported by this daemon or another one.
	 * @param lost the report
	 */
	public void handle(PeerMessage.ServerLost lost) {
		logger.atInfo()
			.addKeyValue(LogFields.DIGEST, lost.digest())
			.addKeyValue(LogFields.SERVER, lost.server())
			.log("server was lost while it ran a request");
		this.crashHistory.recordCrash(lost.digest(), lost.server(), this.clock.instant());
	}

	private static String digest(FullHttpRequest request) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			sha256.update(request.uri().getBytes(StandardCharsets.UTF_8));
			sha256.update((byte) 0);
			return HexFormat.of().formatHex(sha256.digest(ByteBufUtil.getBytes(request.content())), 0, 16);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform must support SHA-256", ex);
		}
	}

}

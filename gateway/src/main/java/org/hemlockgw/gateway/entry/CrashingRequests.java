package org.hemlockgw.gateway.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.Collection;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.retry.CrashHistory;
import org.hemlockgw.core.retry.CrashReport;
import org.hemlockgw.gateway.CrashLog;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Tracks requests during which backend servers were lost, as seen by any daemon. Losses
 * are stored from the second one of a request on, since single ones are frequent and
 * calls to the store are priced. Requests without a body are not tracked: too many of
 * them are identical.
 */
public final class CrashingRequests {

	private static final Logger logger = LoggerFactory.getLogger(CrashingRequests.class);

	/**
	 * Number of server losses after which a request is sent to no further server; the
	 * platform allows three retries.
	 */
	private static final int MAX_SERVER_LOSSES = 3;

	/** Number of losses during a request from which on they are stored. */
	private static final int MIN_STORED_LOSSES = 2;

	/** Time in which the daemon that observed a loss stores it. */
	private static final long PEER_WRITE_DELAY_MS = 1000;

	private final CrashHistory crashHistory = new CrashHistory(MAX_SERVER_LOSSES);

	private final InstantSource clock;

	private final Membership membership;

	private final PeerLinks peerLinks;

	private final CrashLog crashLog;

	private final CrashReportWriter writer;

	private boolean loaded;

	public CrashingRequests(EventLoop loop, InstantSource clock, Membership membership, PeerLinks peerLinks,
			CrashLog crashLog) {
		this.clock = clock;
		this.membership = membership;
		this.peerLinks = peerLinks;
		this.crashLog = crashLog;
		this.writer = new CrashReportWriter(loop, crashLog);
	}

	/**
	 * Starts reading the stored reports of all daemons.
	 */
	public void start() {
		this.crashLog.watch(this::addStored);
	}

	private void addStored(Collection<CrashReport> reports) {
		this.loaded = true;
		this.writer.setStored(reports);
		long added = reports.stream()
			.sorted(Comparator.comparing(CrashReport::time))
			.filter((report) -> this.crashHistory.recordCrash(report, this.clock.instant()))
			.count();
		if (added > 0) {
			logger.info("added {} stored reports of lost servers", added);
		}
	}

	/**
	 * Returns whether the stored reports have been read at least once.
	 * @return whether they have been read
	 */
	public boolean isLoaded() {
		return this.loaded;
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
		CrashReport report = new CrashReport(digest(request), server,
				this.clock.instant().truncatedTo(ChronoUnit.MILLIS));
		add(report, 0);
		PeerMessage.ServerLost lost = new PeerMessage.ServerLost(report.digest(), server, report.time().toEpochMilli());
		this.membership.peerAddresses().forEach((peer) -> this.peerLinks.sendOneWay(peer, lost));
	}

	/**
	 * Records the loss of a server, reported by another daemon.
	 * @param lost the report
	 */
	public void handle(PeerMessage.ServerLost lost) {
		add(new CrashReport(lost.digest(), lost.server(), Instant.ofEpochMilli(lost.timeMs())), PEER_WRITE_DELAY_MS);
	}

	private void add(CrashReport report, long writeDelayMs) {
		logger.atInfo()
			.addKeyValue(LogFields.DIGEST, report.digest())
			.addKeyValue(LogFields.SERVER, report.engine())
			.log("server was lost while it ran a request");
		if (!this.crashHistory.recordCrash(report, this.clock.instant())) {
			return;
		}
		List<CrashReport> reports = this.crashHistory.reports(report.digest());
		if (reports.size() >= MIN_STORED_LOSSES) {
			this.writer.write(reports, writeDelayMs);
		}
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

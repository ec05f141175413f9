package org.hemlockgw.gateway.entry;

import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.retry.CrashHistory;
import org.hemlockgw.core.retry.CrashReport;
import org.hemlockgw.core.retry.RecentContents;
import org.hemlockgw.gateway.CrashLog;
import org.hemlockgw.gateway.net.HttpConnections;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.slots.ServerProcess;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Tracks requests during which backend servers crashed, as seen by any daemon. A lost
 * response alone is no crash: its server must be unreachable, and no server may have
 * processed the same content shortly before or since. Crashes are stored from the second
 * one of a content on, since single ones are frequent and calls to the store are priced.
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

	/**
	 * Time in milliseconds between the loss of a response and the check of its server. It
	 * allows a crashing process to close all its sockets, and is short compared with a
	 * restart, which takes seconds.
	 */
	private static final long PROBE_DELAY_MS = 100;

	/** Time in which the daemon that observed a loss stores it. */
	private static final long PEER_WRITE_DELAY_MS = 1000;

	private final CrashHistory crashHistory = new CrashHistory(MAX_SERVER_LOSSES);

	private final RecentContents recentContents;

	private final EventLoop loop;

	private final InstantSource clock;

	private final Membership membership;

	private final PeerLinks peerLinks;

	private final CrashLog crashLog;

	private final CrashReportWriter writer;

	private final HttpConnections serverConnections;

	private boolean loaded;

	public CrashingRequests(EventLoop loop, InstantSource clock, LongSupplier nanoClock, Membership membership,
			PeerLinks peerLinks, CrashLog crashLog, HttpConnections serverConnections) {
		this.loop = loop;
		this.clock = clock;
		this.recentContents = new RecentContents(nanoClock);
		this.membership = membership;
		this.peerLinks = peerLinks;
		this.crashLog = crashLog;
		this.serverConnections = serverConnections;
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
		this.writer.delete(reports.stream().filter(this.crashHistory::isDiscarded).toList(), PEER_WRITE_DELAY_MS);
	}

	/**
	 * Returns whether the stored reports have been read at least once.
	 * @return whether they have been read
	 */
	public boolean isLoaded() {
		return this.loaded;
	}

	boolean isQuarantined(RequestContent content) {
		return !this.crashHistory.isEmpty() && this.crashHistory.isQuarantined(content.digest(), this.clock.instant());
	}

	/**
	 * Checks whether a server has crashed that sent no usable response to a request. If
	 * so, the other daemons are notified.
	 * @param content content that the server received
	 * @param server the server
	 */
	void recordLostResponse(RequestContent content, ServerProcess server) {
		CrashReport report = new CrashReport(content.digest(), server.server(), server.startedAtMs(),
				this.clock.instant().truncatedTo(ChronoUnit.MILLIS));
		long hash = content.hash();
		this.loop.schedule(() -> this.serverConnections.probe(server.address(), (running) -> {
			if (!running) {
				recordCrash(report, hash);
			}
		}), PROBE_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	private void recordCrash(CrashReport report, long hash) {
		add(report, hash, 0);
		sendToPeers(new PeerMessage.ServerLost(report.digest(), hash, report.engine(), report.startedAtMs(),
				report.time().toEpochMilli()));
	}

	/**
	 * Records the loss of a server, reported by another daemon.
	 * @param lost the report
	 */
	public void handle(PeerMessage.ServerLost lost) {
		add(new CrashReport(lost.digest(), lost.server(), lost.startedAtMs(), Instant.ofEpochMilli(lost.timeMs())),
				lost.hash(), PEER_WRITE_DELAY_MS);
	}

	private void add(CrashReport report, long hash, long writeDelayMs) {
		logger.atInfo()
			.addKeyValue(LogFields.DIGEST, report.digest())
			.addKeyValue(LogFields.SERVER, report.engine())
			.log("server was lost while it ran a request");
		boolean added = this.crashHistory.recordCrash(report, this.clock.instant());
		List<CrashReport> reports = this.crashHistory.reports(report.digest());
		// The store may show a report before the message about it arrives. Stored reports
		// have no hash, so that only the message tells whether the content is recent.
		if (reports.size() >= MAX_SERVER_LOSSES && this.recentContents.contains(hash)) {
			discardEverywhere(report.digest());
			return;
		}
		if (added && reports.size() >= MIN_STORED_LOSSES) {
			this.writer.write(reports, writeDelayMs);
		}
	}

	/**
	 * Records that a server has processed a request to the end.
	 * @param content content that the server received
	 */
	void recordProcessed(RequestContent content) {
		this.recentContents.add(content.hash());
		if (!this.crashHistory.isEmpty()) {
			discardEverywhere(content.digest());
		}
	}

	private void discardEverywhere(String digest) {
		if (discard(digest, 0)) {
			sendToPeers(new PeerMessage.ContentProcessed(digest));
		}
	}

	/**
	 * Handles the notification of another daemon that a server has processed a content.
	 * @param processed the notification
	 */
	public void handle(PeerMessage.ContentProcessed processed) {
		discard(processed.digest(), PEER_WRITE_DELAY_MS);
	}

	private boolean discard(String digest, long deleteDelayMs) {
		List<CrashReport> discarded = this.crashHistory.recordSuccess(digest);
		if (discarded.isEmpty()) {
			return false;
		}
		this.writer.delete(discarded, deleteDelayMs);
		logger.atInfo()
			.addKeyValue(LogFields.DIGEST, digest)
			.log("a server has processed this content; its reports of lost servers are discarded");
		return true;
	}

	private void sendToPeers(PeerMessage message) {
		this.membership.peerAddresses().forEach((peer) -> this.peerLinks.sendOneWay(peer, message));
	}

}

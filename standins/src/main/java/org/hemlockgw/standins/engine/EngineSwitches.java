package org.hemlockgw.standins.engine;

import org.hemlockgw.standins.http.HttpRejection;

/**
 * Faults of the engine.
 *
 * @param speedFactor multiple of the configured speeds
 * @param crashMarker a prompt that contains this text crashes the engine; empty for none
 * @param restartMs how long a crashed engine refuses connections
 * @param refuse answers new requests with 503 and {@code X-Admitted: false}
 * @param stallStreams number of coming stream connections that go silent; the stream
 * itself continues and can be resumed
 * @param stallAfterTokens tokens that such a connection still delivers
 * @param mute accepts connections and requests but answers none, except {@code /switches}
 * and {@code /stats}
 * @param resumable whether streams can be resumed
 * @param cacheEventDelayMs how late cache events are published
 * @param cacheEventGapEvery every n-th cache event is lost; 0 for none
 * @param loadLagMs age of the load report
 * @param checksFencing whether orders with an old fencing number are rejected
 * @param loseReleases number of coming release orders that are acknowledged without
 * effect
 */
public record EngineSwitches(double speedFactor, String crashMarker, long restartMs, boolean refuse, int stallStreams,
		long stallAfterTokens, boolean mute, boolean resumable, long cacheEventDelayMs, int cacheEventGapEvery,
		long loadLagMs, boolean checksFencing, int loseReleases) {

	public EngineSwitches {
		if (!(speedFactor > 0)) {
			throw new HttpRejection(400, "speed_factor must be above 0, was " + speedFactor);
		}
	}

	static EngineSwitches initial(EngineOptions options) {
		return new EngineSwitches(1, options.crashMarker(), options.restartMs(), false, 0, 1, false, true, 0, 0, 0,
				options.checksFencing(), 0);
	}

	EngineSwitches withOneStallLess() {
		return withCounts(Math.max(0, this.stallStreams - 1), this.loseReleases);
	}

	EngineSwitches withOneReleaseLost() {
		return withCounts(this.stallStreams, Math.max(0, this.loseReleases - 1));
	}

	private EngineSwitches withCounts(int stalls, int releases) {
		return new EngineSwitches(this.speedFactor, this.crashMarker, this.restartMs, this.refuse, stalls,
				this.stallAfterTokens, this.mute, this.resumable, this.cacheEventDelayMs, this.cacheEventGapEvery,
				this.loadLagMs, this.checksFencing, releases);
	}

}

package org.hemlockgw.gateway.telemetry;

/**
 * Names of structured log fields. Operators search for them, so they must not change.
 */
public final class LogFields {

	/** Identifier of a caller's request, which is also the identifier of its turn. */
	public static final String REQUEST = "request";

	/** Identifier of the program that a turn belongs to. */
	public static final String PROGRAM = "program";

	/** Identifier of the preceding turn in the chain. */
	public static final String PARENT = "parent";

	/** Name of the route that matched a request. */
	public static final String ROUTE = "route";

	/** Version of the routing configuration. */
	public static final String CONFIGURATION = "configuration";

	/** Name of a pool of backend servers. */
	public static final String POOL = "pool";

	/** Identifier of a backend server. */
	public static final String SERVER = "server";

	/** HTTP status code of a response. */
	public static final String STATUS = "status";

	/** Reason of a decision or a failure, as text. */
	public static final String REASON = "reason";

	/** Time since a request arrived, in milliseconds. */
	public static final String ELAPSED_MS = "elapsed_ms";

	/** Time limit of a request in milliseconds. */
	public static final String LIMIT_MS = "limit_ms";

	/** Time that a request waited for its last slot, in milliseconds. */
	public static final String WAIT_MS = "wait_ms";

	/** Time in milliseconds after which a caller should retry. */
	public static final String RETRY_AFTER_MS = "retry_after_ms";

	/** Number of times that a request was sent to a backend server. */
	public static final String SEND_COUNT = "sends";

	/** Whether a request may have reached a backend server. */
	public static final String SENT = "sent";

	/** Number of events received from a stream. */
	public static final String EVENTS = "events";

	/** Whether the response headers were sent to the caller. */
	public static final String HEAD_SENT = "head_sent";

	/** Whether the complete response of the backend server was received. */
	public static final String RESPONSE_COMPLETE = "answer_whole";

	/** Number of a shard of programs and pools. */
	public static final String SHARD = "shard";

	/** Numbers of several shards. */
	public static final String SHARDS = "shards";

	/** Numbers of the shards that were lost. */
	public static final String LOST = "lost";

	/** Epoch of the writer of a shard. */
	public static final String EPOCH = "epoch";

	/** Generation of the assignment of shards to daemons. */
	public static final String GENERATION = "generation";

	/** Address or name of another daemon. */
	public static final String PEER = "peer";

	/** Number of requests in progress. */
	public static final String REQUESTS = "requests";

	/** Number of turns. */
	public static final String TURNS = "turns";

	/** Number of records. */
	public static final String RECORDS = "records";

	/** Whether all relevant daemons were asked and have replied. */
	public static final String ALL_REPLIED = "all_asked";

	/** Time without a response from the store, in milliseconds. */
	public static final String STORE_UNAVAILABLE_MS = "away_ms";

	/**
	 * Time that records, or the end of a turn, waited for the store's acknowledgement, in
	 * milliseconds.
	 */
	public static final String STORE_WAIT_MS = "store_wait_ms";

	/** Digest of a request's path and body. */
	public static final String DIGEST = "digest";

	/** Number of lines above the limit of lines with the same message. */
	public static final String SUPPRESSED = "folded";

	/** Number of lines that were dropped because the queue was full. */
	public static final String DROPPED = "dropped";

	private LogFields() {
	}

}

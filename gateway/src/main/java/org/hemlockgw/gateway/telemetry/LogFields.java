package org.hemlockgw.gateway.telemetry;

/**
 * Names of the fields of log lines. Operators search for them, so they don't change.
 */
public final class LogFields {

	/** Identifier of a caller's request, which is also that of its turn. */
	public static final String REQUEST = "request";

	/** Identifier of the program that a turn belongs to. */
	public static final String PROGRAM = "program";

	/** Identifier of the turn that a turn continues. */
	public static final String PARENT = "parent";

	/** Name of the route that a request matched. */
	public static final String ROUTE = "route";

	/** Version of the configuration that was used. */
	public static final String CONFIGURATION = "configuration";

	/** Name of the pool of backend servers. */
	public static final String POOL = "pool";

	/** Identifier of a backend server. */
	public static final String SERVER = "server";

	/** HTTP status of an answer. */
	public static final String STATUS = "status";

	/** Why something was decided, as a text. */
	public static final String REASON = "reason";

	/** Time since a request arrived in milliseconds. */
	public static final String ELAPSED_MS = "elapsed_ms";

	/** Time that a request may take in milliseconds. */
	public static final String LIMIT_MS = "limit_ms";

	/** Time that a request waited for its last slot in milliseconds. */
	public static final String WAIT_MS = "wait_ms";

	/** Time until a caller should come back in milliseconds. */
	public static final String RETRY_AFTER_MS = "retry_after_ms";

	/** Number of times that a request was sent to a server. */
	public static final String SEND_COUNT = "sends";

	/** Whether a request may have reached a server. */
	public static final String SENT = "sent";

	/** Number of events of a stream that were received. */
	public static final String EVENTS = "events";

	/** Whether the caller has got the head of the answer. */
	public static final String HEAD_SENT = "head_sent";

	/** Whether the server's answer was received whole. */
	public static final String RESPONSE_COMPLETE = "answer_whole";

	/** Number of a shard of programs and pools. */
	public static final String SHARD = "shard";

	/** Numbers of several shards. */
	public static final String SHARDS = "shards";

	/** Numbers of shards that were lost. */
	public static final String LOST = "lost";

	/** Epoch of a shard's writer. */
	public static final String EPOCH = "epoch";

	/** Generation of the assignment of shards. */
	public static final String GENERATION = "generation";

	/** Peer address or name of another daemon. */
	public static final String PEER = "peer";

	/** Number of requests that were under way. */
	public static final String REQUESTS = "requests";

	/** Number of turns. */
	public static final String TURNS = "turns";

	/** Number of records. */
	public static final String RECORDS = "records";

	/** Whether all daemons that matter were asked and have answered. */
	public static final String ALL_REPLIED = "all_asked";

	/** Time without an answer of the store in milliseconds. */
	public static final String STORE_UNAVAILABLE_MS = "away_ms";

	/** Digest of a request's path and body. */
	public static final String DIGEST = "digest";

	/** Number of lines of one kind that were counted instead of written. */
	public static final String SUPPRESSED = "folded";

	/** Number of lines that found the queue full. */
	public static final String DROPPED = "dropped";

	private LogFields() {
	}

}

package org.hemlockgw.core.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;

import org.hemlockgw.core.platform.LogRecord;

/**
 * State derived from the configuration stream. All readers that apply the same records,
 * from the beginning or from any snapshot, get the same state.
 *
 * @param nextOffset offset of the next record to apply
 * @param configuration current configuration
 * @param document current document
 * @param history latest patches and the origin of each part of the document
 * @param snapshotOffset offset of the latest snapshot record, or -1 if none was applied
 * @param snapshotTime time at which the log accepted that snapshot
 */
public record ConfigState(long nextOffset, Configuration configuration, JsonNode document, ConfigHistory history,
		long snapshotOffset, Instant snapshotTime) {

	/** State of an empty stream. */
	public static final ConfigState EMPTY = new ConfigState(0, Configuration.EMPTY,
			JsonNodeFactory.instance.objectNode(), ConfigHistory.EMPTY, -1, Instant.EPOCH);

	private static final int MAX_CAUSES = 20;

	// The content of larger patches is omitted from the history, which is kept in memory
	// and in snapshots.
	private static final int MAX_KEPT_PATCH_BYTES = 4096;

	/**
	 * Creates a state from a snapshot.
	 * @param snapshot the snapshot
	 * @return the state, or empty if the document of the snapshot is invalid
	 */
	public static Optional<ConfigState> of(ConfigSnapshot snapshot) {
		CheckResult result = ConfigChecker.check(snapshot.version(), snapshot.document());
		return Optional.ofNullable(result.configuration())
			.map((configuration) -> new ConfigState(snapshot.nextOffset(), configuration, snapshot.document(),
					snapshot.history(), -1, Instant.EPOCH));
	}

	public ConfigSnapshot toSnapshot() {
		return new ConfigSnapshot(this.nextOffset, version(), this.document, this.history);
	}

	public long version() {
		return this.configuration.version();
	}

	/**
	 * Applies one record. A patch is accepted if its base is the current version and the
	 * result is a valid document. A snapshot does not change the configuration because
	 * this state already includes all records before it.
	 * @param logRecord the record at offset {@code nextOffset}; an earlier one is ignored
	 * @return the new state
	 * @throws IllegalArgumentException if records are missing between this state and the
	 * record
	 */
	public ConfigState apply(LogRecord logRecord) {
		if (logRecord.offset() < this.nextOffset) {
			return this;
		}
		if (logRecord.offset() > this.nextOffset) {
			throw new IllegalArgumentException(
					"Record " + logRecord.offset() + " does not follow " + (this.nextOffset - 1));
		}
		ConfigRecord decoded;
		try {
			decoded = ConfigCodec.decode(logRecord.data());
		}
		catch (MalformedRecordException ex) {
			ConfigPatch unknown = new ConfigPatch("", 0, "", "", MissingNode.getInstance());
			return reject(logRecord, unknown, List.of("malformed record: " + ex.getMessage()));
		}
		if (decoded instanceof ConfigPatch patch) {
			return apply(logRecord, patch);
		}
		return new ConfigState(logRecord.offset() + 1, this.configuration, this.document, this.history,
				logRecord.offset(), logRecord.time());
	}

	private ConfigState apply(LogRecord logRecord, ConfigPatch patch) {
		if (this.history.find(patch.id()).isPresent()) {
			return withHistory(logRecord, this.history);
		}
		if (patch.base() != version()) {
			return reject(logRecord, patch,
					List.of("base " + patch.base() + " is not the version in force, " + version()));
		}
		JsonNode result = MergePatch.apply(this.document, patch.patch());
		CheckResult checked = ConfigChecker.check(version() + 1, result);
		Configuration accepted = checked.configuration();
		if (accepted == null) {
			return reject(logRecord, patch, causes(checked.errors()));
		}
		PatchOutcome outcome = outcome(logRecord, patch, accepted.version(), List.of());
		return new ConfigState(logRecord.offset() + 1, accepted, result,
				this.history.withAccepted(outcome, this.document, result), this.snapshotOffset, this.snapshotTime);
	}

	private ConfigState reject(LogRecord logRecord, ConfigPatch patch, List<String> causes) {
		return withHistory(logRecord, this.history.withRejected(outcome(logRecord, patch, 0, causes)));
	}

	private ConfigState withHistory(LogRecord logRecord, ConfigHistory newHistory) {
		return new ConfigState(logRecord.offset() + 1, this.configuration, this.document, newHistory,
				this.snapshotOffset, this.snapshotTime);
	}

	private static PatchOutcome outcome(LogRecord logRecord, ConfigPatch patch, long version, List<String> causes) {
		boolean keepsContent = logRecord.data().length <= MAX_KEPT_PATCH_BYTES;
		ConfigPatch recordedPatch = keepsContent ? patch
				: new ConfigPatch(patch.id(), patch.base(), patch.author(), patch.reason(), MissingNode.getInstance());
		return new PatchOutcome(logRecord.offset(), logRecord.time(), recordedPatch, version, causes);
	}

	private static List<String> causes(List<ConfigError> errors) {
		List<String> result = new ArrayList<>();
		for (ConfigError error : errors) {
			if (result.size() == MAX_CAUSES) {
				result.add("and " + (errors.size() - MAX_CAUSES) + " more");
				break;
			}
			result.add(error.toString());
		}
		return result;
	}

}

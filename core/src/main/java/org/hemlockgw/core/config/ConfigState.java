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
 * Fold of the configuration stream. Every reader that folds the same records, from the
 * beginning or from any snapshot, comes to the same state.
 *
 * @param nextOffset offset of the next record to fold
 * @param configuration configuration in force
 * @param document document in force
 * @param history latest patches, and who changed what is in force
 * @param snapshotOffset offset of the latest snapshot folded, or -1
 * @param snapshotTime when the log accepted that snapshot
 */
public record ConfigState(long nextOffset, Configuration configuration, JsonNode document, ConfigHistory history,
		long snapshotOffset, Instant snapshotTime) {

	/** Fold of an empty stream. */
	public static final ConfigState EMPTY = new ConfigState(0, Configuration.EMPTY,
			JsonNodeFactory.instance.objectNode(), ConfigHistory.EMPTY, -1, Instant.EPOCH);

	private static final int MAX_CAUSES = 20;

	// Larger patches are left out of the history, which is kept in memory and in
	// snapshots.
	private static final int MAX_KEPT_PATCH_BYTES = 4096;

	/**
	 * Starts from a snapshot.
	 * @param snapshot the snapshot
	 * @return the state, or empty if the snapshot's document fails the checks
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
	 * Folds one record. A patch is accepted if its base is the version in force and the
	 * result passes all checks. A snapshot changes nothing in force, because this state
	 * already contains everything before it.
	 * @param entry the record at offset {@code nextOffset}; an earlier one is ignored
	 * @return the new state
	 * @throws IllegalArgumentException if records between are missing
	 */
	public ConfigState apply(LogRecord entry) {
		if (entry.offset() < this.nextOffset) {
			return this;
		}
		if (entry.offset() > this.nextOffset) {
			throw new IllegalArgumentException("Record " + entry.offset() + " does not follow " + (this.nextOffset - 1));
		}
		ConfigRecord decoded;
		try {
			decoded = ConfigCodec.decode(entry.data());
		}
		catch (MalformedRecordException ex) {
			ConfigPatch unknown = new ConfigPatch("", 0, "", "", MissingNode.getInstance());
			return reject(entry, unknown, List.of("malformed record: " + ex.getMessage()));
		}
		if (decoded instanceof ConfigPatch patch) {
			return apply(entry, patch);
		}
		return new ConfigState(entry.offset() + 1, this.configuration, this.document, this.history, entry.offset(),
				entry.time());
	}

	private ConfigState apply(LogRecord entry, ConfigPatch patch) {
		if (this.history.find(patch.id()).isPresent()) {
			return with(entry, this.history);
		}
		if (patch.base() != version()) {
			return reject(entry, patch, List.of("base " + patch.base() + " is not the version in force, " + version()));
		}
		JsonNode result = MergePatch.apply(this.document, patch.patch());
		CheckResult checked = ConfigChecker.check(version() + 1, result);
		Configuration accepted = checked.configuration();
		if (accepted == null) {
			return reject(entry, patch, causes(checked.errors()));
		}
		PatchOutcome outcome = outcome(entry, patch, accepted.version(), List.of());
		return new ConfigState(entry.offset() + 1, accepted, result,
				this.history.accept(outcome, this.document, result), this.snapshotOffset, this.snapshotTime);
	}

	private ConfigState reject(LogRecord entry, ConfigPatch patch, List<String> causes) {
		return with(entry, this.history.reject(outcome(entry, patch, 0, causes)));
	}

	private ConfigState with(LogRecord entry, ConfigHistory changed) {
		return new ConfigState(entry.offset() + 1, this.configuration, this.document, changed, this.snapshotOffset,
				this.snapshotTime);
	}

	private static PatchOutcome outcome(LogRecord entry, ConfigPatch patch, long version, List<String> causes) {
		boolean kept = entry.data().length <= MAX_KEPT_PATCH_BYTES;
		ConfigPatch shown = kept ? patch
				: new ConfigPatch(patch.id(), patch.base(), patch.author(), patch.reason(), MissingNode.getInstance());
		return new PatchOutcome(entry.offset(), entry.time(), shown, version, causes);
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

package org.hemlockgw.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The latest patches and the origin of everything in force. It is bounded, so that a
 * snapshot can carry it past the retention of the log.
 *
 * @param outcomes latest patches, oldest first
 * @param blame version that last changed each part of the document
 * @param notes who made the versions that {@code blame} names
 */
public record ConfigHistory(List<PatchOutcome> outcomes, Blame blame, SortedMap<Long, VersionNote> notes) {

	/** History of an empty stream. */
	public static final ConfigHistory EMPTY = new ConfigHistory(List.of(), Blame.EMPTY, new TreeMap<>());

	/** Patches kept; a repeated patch identifier is recognised within this window. */
	public static final int MAX_OUTCOMES = 256;

	public ConfigHistory {
		outcomes = List.copyOf(outcomes);
		notes = Collections.unmodifiableSortedMap(new TreeMap<>(notes));
	}

	/**
	 * Finds a patch.
	 * @param id patch identifier
	 * @return its outcome, if it is among the latest patches
	 */
	public Optional<PatchOutcome> find(String id) {
		return this.outcomes.stream().filter((outcome) -> outcome.patch().id().equals(id)).findFirst();
	}

	ConfigHistory reject(PatchOutcome outcome) {
		return new ConfigHistory(append(outcome), this.blame, this.notes);
	}

	ConfigHistory accept(PatchOutcome outcome, JsonNode before, JsonNode after) {
		Blame changed = this.blame.withChange(before, after, outcome.version());
		ConfigPatch patch = outcome.patch();
		SortedMap<Long, VersionNote> kept = new TreeMap<>(this.notes);
		kept.put(outcome.version(),
				new VersionNote(outcome.version(), outcome.time(), patch.id(), patch.author(), patch.reason()));
		Set<Long> named = changed.versions();
		kept.keySet().removeIf((version) -> !named.contains(version) && version != outcome.version());
		return new ConfigHistory(append(outcome), changed, kept);
	}

	private List<PatchOutcome> append(PatchOutcome outcome) {
		List<PatchOutcome> result = new ArrayList<>(this.outcomes);
		result.add(outcome);
		return (result.size() > MAX_OUTCOMES) ? result.subList(result.size() - MAX_OUTCOMES, result.size()) : result;
	}

}

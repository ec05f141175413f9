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
 * The latest patches and the origin of each part of the current document. The size is
 * bounded, so that snapshots can preserve the history beyond the retention time of the
 * log.
 *
 * @param outcomes outcomes of the latest patches, oldest first
 * @param blame version that last changed each part of the document
 * @param notes author and reason of each version that occurs in {@code blame}
 */
public record ConfigHistory(List<PatchOutcome> outcomes, Blame blame, SortedMap<Long, VersionNote> notes) {

	/** History of an empty stream. */
	public static final ConfigHistory EMPTY = new ConfigHistory(List.of(), Blame.EMPTY, new TreeMap<>());

	/**
	 * Number of patch outcomes kept. A repeated patch identifier is detected among these
	 * only.
	 */
	public static final int MAX_OUTCOMES = 256;

	public ConfigHistory {
		outcomes = List.copyOf(outcomes);
		notes = Collections.unmodifiableSortedMap(new TreeMap<>(notes));
	}

	/**
	 * Finds the outcome of a patch.
	 * @param id patch identifier
	 * @return the outcome, or empty if the patch is not among the latest ones
	 */
	public Optional<PatchOutcome> find(String id) {
		return this.outcomes.stream().filter((outcome) -> outcome.patch().id().equals(id)).findFirst();
	}

	ConfigHistory withRejected(PatchOutcome outcome) {
		return new ConfigHistory(append(outcome), this.blame, this.notes);
	}

	ConfigHistory withAccepted(PatchOutcome outcome, JsonNode before, JsonNode after) {
		Blame newBlame = this.blame.withChange(before, after, outcome.version());
		ConfigPatch patch = outcome.patch();
		SortedMap<Long, VersionNote> keptNotes = new TreeMap<>(this.notes);
		keptNotes.put(outcome.version(),
				new VersionNote(outcome.version(), outcome.time(), patch.id(), patch.author(), patch.reason()));
		Set<Long> usedVersions = newBlame.versions();
		keptNotes.keySet().removeIf((version) -> !usedVersions.contains(version) && version != outcome.version());
		return new ConfigHistory(append(outcome), newBlame, keptNotes);
	}

	private List<PatchOutcome> append(PatchOutcome outcome) {
		List<PatchOutcome> result = new ArrayList<>(this.outcomes);
		result.add(outcome);
		return (result.size() > MAX_OUTCOMES) ? result.subList(result.size() - MAX_OUTCOMES, result.size()) : result;
	}

}

package org.hemlockgw.core.config;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.platform.InMemoryLog;
import org.hemlockgw.core.platform.LogRecord;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ConfigStreamReaderTests {

	private static final String STREAM = ConfigStreamReader.NAME;

	private static final int RECORD_KINDS = 9;

	private static final int ARGUMENTS = 8;

	// Guards against a version number that decreases, and against accepting two patches
	// for
	// the same base version, which would lose the change of one operator.
	@Property(seed = "1709", tries = 500)
	void onlyAcceptedPatchesIncrementVersion(@ForAll @Size(max = 60) List<@IntRange(max = 71) Integer> steps) {
		List<LogRecord> records = records(stream(steps));
		ConfigState state = ConfigState.EMPTY;
		Set<Long> acceptedBases = new HashSet<>();
		Set<String> ids = new HashSet<>();
		for (LogRecord entry : records) {
			ConfigState next = state.apply(entry);
			List<PatchOutcome> outcomes = next.history().outcomes();
			boolean hasNewOutcome = outcomes.size() > state.history().outcomes().size();
			PatchOutcome last = hasNewOutcome ? outcomes.get(outcomes.size() - 1) : null;
			if (last != null && last.isAccepted()) {
				assertThat(acceptedBases.add(last.patch().base())).isTrue();
				assertThat(last.patch().base()).isEqualTo(state.version());
				assertThat(next.version()).isEqualTo(state.version() + 1);
				assertThat(ConfigChecker.check(next.version(), next.document()).errors()).isEmpty();
			}
			else {
				assertThat(next.version()).isEqualTo(state.version());
				assertThat(next.document()).isEqualTo(state.document());
			}
			if (last != null && !last.patch().id().isEmpty()) {
				assertWithMessage("a patch is accepted or rejected only once").that(ids.add(last.patch().id()))
					.isTrue();
			}
			state = next;
		}
		for (LogRecord entry : records) {
			assertWithMessage("applying a record again changes nothing").that(state.apply(entry))
				.isSameInstanceAs(state);
		}
	}

	// Guards against daemons whose current versions differ because they started reading
	// at
	// different offsets of the stream.
	@Property(seed = "4242", tries = 300)
	void readersAgreeRegardlessOfStartOffset(@ForAll @Size(max = 60) List<@IntRange(max = 71) Integer> steps,
			@ForAll @IntRange(max = 60) int expired) {
		InMemoryLog log = stream(steps);
		ConfigState expected = new ConfigStreamReader.StartPoint(ConfigState.EMPTY, records(log)).replay();
		assertThat(new ConfigStreamReader(log).load().join()).isEqualTo(expected);
		log.expireBefore(Math.min(expired, log.size()));
		try {
			assertThat(new ConfigStreamReader(log).load().join()).isEqualTo(expected);
			assertThat(new ConfigStreamReader(log).loadAll().join().replay()).isEqualTo(expected);
		}
		catch (CompletionException ex) {
			assertThat(CallFailure.of(ex).code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
			assertWithMessage("no usable snapshot remains").that(usableSnapshots(log, expired)).isEqualTo(0);
		}
	}

	// Guards against a reader that reads the whole stream or skips records between pages.
	@Example
	void findsSnapshotSeveralPagesBack() {
		InMemoryLog log = stream(List.of(0, 1, 6));
		for (int i = 0; i < 2 * ConfigStreamReader.PAGE_RECORDS; i++) {
			log.append(STREAM, patch("late-" + i, 2 + i, validPatch(i))).join();
		}
		ConfigState expected = new ConfigStreamReader.StartPoint(ConfigState.EMPTY, records(log)).replay();
		log.expireBefore(2);
		assertThat(new ConfigStreamReader(log).load().join()).isEqualTo(expected);
		assertThat(expected.version()).isEqualTo(2 + 2 * ConfigStreamReader.PAGE_RECORDS);
		assertThat(expected.history().outcomes()).hasSize(ConfigHistory.MAX_OUTCOMES);
	}

	// Guards against a rejection without a cause, and against attributing a key to a
	// version
	// that did not change it.
	@Example
	void historyContainsCausesAndOrigins() {
		InMemoryLog log = new InMemoryLog();
		log.append(STREAM, patch("p1", 0, limits("max_turns", 10).put("policy", "cache_first"))).join();
		log.append(STREAM, patch("p2", 0, limits("max_turns", 11))).join();
		log.append(STREAM, patch("p3", 1, limits("max_turns", 0))).join();
		log.append(STREAM, patch("p4", 1, limits("max_depth", 2))).join();
		ConfigHistory history = new ConfigStreamReader(log).load().join().history();
		assertThat(history.find("p2").orElseThrow().causes()).containsExactly("base 0 is not the version in force, 1");
		assertThat(history.find("p3").orElseThrow().causes())
			.containsExactly("limits.max_turns = 0; allowed: a whole number from 1 to 10000");
		assertThat(history.blame().versionsUnder("")).containsExactly("limits.max_turns", 1L, "limits.max_depth", 2L,
				"policy", 1L);
		assertThat(history.notes().values().stream().map(VersionNote::patchId)).containsExactly("p1", "p4").inOrder();
	}

	// Builds a stream. Each step encodes a kind of record and an argument, which are
	// applied
	// to the state before it.
	private static InMemoryLog stream(List<Integer> steps) {
		InMemoryLog log = new InMemoryLog();
		List<ConfigState> states = new ArrayList<>(List.of(ConfigState.EMPTY));
		for (int i = 0; i < steps.size(); i++) {
			ConfigState state = states.get(i);
			int argument = steps.get(i) / RECORD_KINDS;
			byte[] data = switch (steps.get(i) % RECORD_KINDS) {
				case 0, 1 -> patch("p" + i, state.version(), validPatch(argument));
				case 2 -> patch("p" + i, state.version(), limits("max_turns", -argument));
				case 3 -> patch("p" + i, Math.max(0, state.version() - 1), validPatch(argument));
				case 4 -> patch("p" + i, state.version() + 1, validPatch(argument));
				case 5 -> patch("p" + Math.max(0, i - argument), state.version(), validPatch(argument));
				case 6 -> ConfigCodec.encode(state.toSnapshot());
				// A snapshot of an earlier state, so patches lie between it and its
				// offset.
				case 7 -> ConfigCodec.encode(states.get(Math.max(0, i - argument)).toSnapshot());
				default -> "{\"type\":\"other\"}".getBytes(StandardCharsets.UTF_8);
			};
			log.append(STREAM, data).join();
			states.add(state.apply(records(log).get(i)));
		}
		return log;
	}

	private static long usableSnapshots(InMemoryLog log, long first) {
		return records(log).stream().filter((entry) -> {
			try {
				return ConfigCodec.decode(entry.data()) instanceof ConfigSnapshot s && s.nextOffset() >= first;
			}
			catch (MalformedRecordException ex) {
				return false;
			}
		}).count();
	}

	private static List<LogRecord> records(InMemoryLog log) {
		return log.read(STREAM, 0, Integer.MAX_VALUE, Duration.ZERO).join().records();
	}

	private static JsonNode validPatch(int argument) {
		return (argument % ARGUMENTS != 0) ? limits("max_turns", argument).put("policy", "latency_first")
				: JsonNodeFactory.instance.objectNode().putNull("limits");
	}

	private static ObjectNode limits(String key, int value) {
		ObjectNode patch = JsonNodeFactory.instance.objectNode();
		patch.putObject("limits").put(key, value);
		return patch;
	}

	private static byte[] patch(String id, long base, JsonNode content) {
		return ConfigCodec.encode(new ConfigPatch(id, base, "author", "reason", content));
	}

}

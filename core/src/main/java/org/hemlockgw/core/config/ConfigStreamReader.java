package org.hemlockgw.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.core.platform.LogService;

/**
 * Reads the configuration stream. Starts at the latest usable snapshot, searched
 * backwards from the end, or at the beginning of the stream.
 */
public final class ConfigStreamReader {

	/** Name of the stream. */
	public static final String NAME = "config";

	/** Maximum number of records per read request. */
	public static final int PAGE_RECORDS = 512;

	private static final int MAX_ATTEMPTS = 3;

	private final LogService log;

	public ConfigStreamReader(LogService log) {
		this.log = log;
	}

	/**
	 * Reads the latest usable snapshot and applies all records after it.
	 * @return the current state; fails with {@link CallFailure} if the log cannot be read
	 * or contains neither the beginning of the stream nor a usable snapshot
	 */
	public CompletableFuture<ConfigState> load() {
		return findStart(false, MAX_ATTEMPTS).thenApply(StartPoint::replay);
	}

	/**
	 * Reads all records that the log still contains.
	 * @return the earliest state that can be restored, and all records after it
	 */
	public CompletableFuture<StartPoint> loadAll() {
		return findStart(true, MAX_ATTEMPTS);
	}

	private CompletableFuture<StartPoint> findStart(boolean fromEarliest, int attempts) {
		return this.log.read(NAME, 0, 1, Duration.ZERO).thenCompose((firstPage) -> {
			if (firstPage.nextOffset() <= firstPage.firstOffset()) {
				return startPoint(firstPage.firstOffset(), List.of(), fromEarliest);
			}
			return searchBackwards(firstPage.firstOffset(), firstPage.nextOffset(), List.of(), fromEarliest, attempts);
		});
	}

	// Extends 'found', which begins at offset 'from', backwards by one page.
	private CompletableFuture<StartPoint> searchBackwards(long first, long from, List<LogRecord> found,
			boolean fromEarliest, int attempts) {
		long to = Math.max(first, from - PAGE_RECORDS);
		return readRange(to, from, new ArrayList<>()).thenCompose((page) -> {
			if (!isComplete(page, to, from)) {
				// Records expired during the search.
				return (attempts > 1) ? findStart(fromEarliest, attempts - 1)
						: CompletableFuture.failedFuture(unavailable("expired records while they were read"));
			}
			page.addAll(found);
			if (to > first && (fromEarliest || latestSnapshot(to, page).isEmpty())) {
				return searchBackwards(first, to, page, fromEarliest, attempts);
			}
			return startPoint(first, page, fromEarliest);
		});
	}

	private CompletableFuture<List<LogRecord>> readRange(long from, long to, List<LogRecord> result) {
		if (from >= to) {
			return CompletableFuture.completedFuture(result);
		}
		return this.log.read(NAME, from, (int) (to - from), Duration.ZERO).thenCompose((page) -> {
			if (page.records().isEmpty()) {
				return CompletableFuture.completedFuture(result);
			}
			page.records().stream().filter((logRecord) -> logRecord.offset() < to).forEach(result::add);
			return readRange(page.records().get(page.records().size() - 1).offset() + 1, to, result);
		});
	}

	private static boolean isComplete(List<LogRecord> page, long from, long to) {
		return page.size() == to - from && page.get(0).offset() == from;
	}

	private static CompletableFuture<StartPoint> startPoint(long first, List<LogRecord> records, boolean fromEarliest) {
		Optional<ConfigState> state;
		if (fromEarliest) {
			state = (first == 0) ? Optional.of(ConfigState.EMPTY) : earliestSnapshot(first, records);
		}
		else {
			long from = records.isEmpty() ? first : records.get(0).offset();
			state = latestSnapshot(from, records);
			if (state.isEmpty() && first == 0) {
				state = Optional.of(ConfigState.EMPTY);
			}
		}
		if (state.isEmpty()) {
			return CompletableFuture.failedFuture(unavailable("keeps neither the beginning nor a usable snapshot"));
		}
		long next = state.get().nextOffset();
		List<LogRecord> following = records.stream().filter((logRecord) -> logRecord.offset() >= next).toList();
		return CompletableFuture.completedFuture(new StartPoint(state.get(), following));
	}

	private static Optional<ConfigState> latestSnapshot(long from, List<LogRecord> records) {
		for (int i = records.size() - 1; i >= 0; i--) {
			Optional<ConfigState> state = usableSnapshot(from, records.get(i));
			if (state.isPresent()) {
				return state;
			}
		}
		return Optional.empty();
	}

	private static Optional<ConfigState> earliestSnapshot(long from, List<LogRecord> records) {
		return records.stream().flatMap((logRecord) -> usableSnapshot(from, logRecord).stream()).findFirst();
	}

	// A snapshot is usable if all records that it does not include are available.
	private static Optional<ConfigState> usableSnapshot(long from, LogRecord logRecord) {
		try {
			if (ConfigCodec.decode(logRecord.data()) instanceof ConfigSnapshot snapshot && snapshot.nextOffset() >= from
					&& snapshot.nextOffset() <= logRecord.offset()) {
				return ConfigState.of(snapshot);
			}
		}
		catch (MalformedRecordException ex) {
			// The replay records it as a rejected patch.
		}
		return Optional.empty();
	}

	private static CallFailure unavailable(String cause) {
		return CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, "The log " + cause + " of the stream " + NAME);
	}

	/**
	 * Start point of a reader.
	 *
	 * @param state initial state
	 * @param records all records after the initial state
	 */
	public record StartPoint(ConfigState state, List<LogRecord> records) {

		/**
		 * Applies the records to the initial state.
		 * @return the state after the last record
		 */
		public ConfigState replay() {
			ConfigState result = this.state;
			for (LogRecord logRecord : this.records) {
				result = result.apply(logRecord);
			}
			return result;
		}

	}

}

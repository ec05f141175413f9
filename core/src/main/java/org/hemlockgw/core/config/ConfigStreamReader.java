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
 * Finds where to start reading the configuration stream: the latest snapshot, searched
 * from the end, or the beginning.
 */
public final class ConfigStreamReader {

	/** Name of the stream. */
	public static final String NAME = "config";

	/** Records asked for at once. */
	public static final int PAGE_RECORDS = 512;

	private static final int MAX_ATTEMPTS = 3;

	private final LogService log;

	public ConfigStreamReader(LogService log) {
		this.log = log;
	}

	/**
	 * Reads the latest usable snapshot and all records after it.
	 * @return the state; fails with {@link CallFailure} if the log cannot be read or
	 * keeps neither the beginning of the stream nor a usable snapshot
	 */
	public CompletableFuture<ConfigState> load() {
		return find(false, MAX_ATTEMPTS).thenApply(StartPoint::replay);
	}

	/**
	 * Reads everything that the log still keeps.
	 * @return the earliest state that can be known, and all records from there
	 */
	public CompletableFuture<StartPoint> loadAll() {
		return find(true, MAX_ATTEMPTS);
	}

	private CompletableFuture<StartPoint> find(boolean all, int attempts) {
		return this.log.read(NAME, 0, 1, Duration.ZERO).thenCompose((head) -> {
			if (head.nextOffset() <= head.firstOffset()) {
				return start(head.firstOffset(), List.of(), all);
			}
			return search(head.firstOffset(), head.nextOffset(), List.of(), all, attempts);
		});
	}

	// Extends {@code found}, which begins at {@code from}, backwards by one page.
	private CompletableFuture<StartPoint> search(long first, long from, List<LogRecord> found, boolean all, int attempts) {
		long to = Math.max(first, from - PAGE_RECORDS);
		return range(to, from, new ArrayList<>()).thenCompose((page) -> {
			if (!isComplete(page, to, from)) {
				// The log expired records during the search.
				return (attempts > 1) ? find(all, attempts - 1)
						: CompletableFuture.failedFuture(unavailable("expired records while they were read"));
			}
			page.addAll(found);
			if (to > first && (all || latestSnapshot(to, page).isEmpty())) {
				return search(first, to, page, all, attempts);
			}
			return start(first, page, all);
		});
	}

	private CompletableFuture<List<LogRecord>> range(long from, long to, List<LogRecord> result) {
		if (from >= to) {
			return CompletableFuture.completedFuture(result);
		}
		return this.log.read(NAME, from, (int) (to - from), Duration.ZERO).thenCompose((page) -> {
			if (page.records().isEmpty()) {
				return CompletableFuture.completedFuture(result);
			}
			page.records().stream().filter((entry) -> entry.offset() < to).forEach(result::add);
			return range(page.records().get(page.records().size() - 1).offset() + 1, to, result);
		});
	}

	private static boolean isComplete(List<LogRecord> page, long from, long to) {
		return page.size() == to - from && page.get(0).offset() == from;
	}

	private static CompletableFuture<StartPoint> start(long first, List<LogRecord> records, boolean all) {
		Optional<ConfigState> state;
		if (all) {
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
		List<LogRecord> following = records.stream().filter((entry) -> entry.offset() >= next).toList();
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
		return records.stream().flatMap((entry) -> usableSnapshot(from, entry).stream()).findFirst();
	}

	// A snapshot is usable if all records that it does not contain are at hand.
	private static Optional<ConfigState> usableSnapshot(long from, LogRecord entry) {
		try {
			if (ConfigCodec.decode(entry.data()) instanceof ConfigSnapshot snapshot && snapshot.nextOffset() >= from
					&& snapshot.nextOffset() <= entry.offset()) {
				return ConfigState.of(snapshot);
			}
		}
		catch (MalformedRecordException ex) {
			// The fold reports it.
		}
		return Optional.empty();
	}

	private static CallFailure unavailable(String cause) {
		return CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, "The log " + cause + " of the stream " + NAME);
	}

	/**
	 * Where a reader starts.
	 *
	 * @param state state to start from
	 * @param records all records that follow
	 */
	public record StartPoint(ConfigState state, List<LogRecord> records) {

		/**
		 * Folds the records.
		 * @return the state after the last record
		 */
		public ConfigState replay() {
			ConfigState result = this.state;
			for (LogRecord entry : this.records) {
				result = result.apply(entry);
			}
			return result;
		}

	}

}

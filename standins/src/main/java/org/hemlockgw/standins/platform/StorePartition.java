package org.hemlockgw.standins.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * One partition of a topic, with the epochs and last appends of its producers.
 */
final class StorePartition {

	/** Appends whose repeat gets its first response again. */
	private static final int REMEMBERED_APPENDS = 5;

	private final List<byte[]> records = new ArrayList<>();

	private final TreeMap<String, Newest> newest = new TreeMap<>();

	private final Map<String, Producer> producers = new HashMap<>();

	private long first;

	/**
	 * Appends records as the store's page says.
	 * @param producer producer, null without one
	 * @param epoch its epoch
	 * @param sequence its number
	 * @param body records with their lengths
	 * @return offset and end, or the refusal
	 */
	Map<String, Object> append(@Nullable String producer, long epoch, long sequence, byte[] body) {
		if (producer != null) {
			Producer known = this.producers.computeIfAbsent(producer, (name) -> new Producer());
			if (epoch < known.epoch) {
				return Map.of("status", 409, "why", "fenced");
			}
			if (epoch > known.epoch) {
				known.epoch = epoch;
				known.next = sequence;
				known.last.clear();
			}
			if (body.length == 0) {
				return Map.of("status", 200, "offset", end(), "end", end());
			}
			Map<String, Object> repeated = known.last.get(sequence);
			if (repeated != null) {
				return repeated;
			}
			if (sequence != known.next) {
				return Map.of("status", 409, "why", "seq", "expected", known.next);
			}
			known.next++;
			Map<String, Object> answer = add(body);
			known.last.put(sequence, answer);
			known.last.remove(sequence - REMEMBERED_APPENDS);
			return answer;
		}
		return add(body);
	}

	private Map<String, Object> add(byte[] body) {
		long offset = end();
		ByteBuffer in = ByteBuffer.wrap(body);
		while (in.hasRemaining()) {
			byte[] record = new byte[in.getInt()];
			in.get(record);
			String key = key(record);
			if (valueOffset(record) == record.length) {
				this.newest.remove(key);
			}
			else {
				this.newest.put(key, new Newest(end(), Arrays.copyOfRange(record, valueOffset(record), record.length)));
			}
			this.records.add(record);
		}
		return Map.of("status", 200, "offset", offset, "end", end());
	}

	static String key(byte[] record) {
		return new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
	}

	static int valueOffset(byte[] record) {
		return 1 + (record[0] & 0xff);
	}

	long end() {
		return this.first + this.records.size();
	}

	long first() {
		return this.first;
	}

	byte[] record(long offset) {
		return this.records.get((int) (offset - this.first));
	}

	/**
	 * Drops all records but the newest of each key, which can no longer be read in order.
	 */
	void dropHistory() {
		this.first = end();
		this.records.clear();
	}

	/**
	 * Returns the newest record of each key.
	 * @return records by key, in the order of the keys
	 */
	TreeMap<String, Newest> newest() {
		return this.newest;
	}

	/**
	 * Newest record of a key.
	 *
	 * @param offset its place
	 * @param value its value
	 */
	record Newest(long offset, byte[] value) {

	}

	private static final class Producer {

		private final Map<Long, Map<String, Object>> last = new HashMap<>();

		private long epoch = -1;

		private long next;

	}

}

package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: log, keyed topics, producers and one group.
 */
final class Store implements AutoCloseable {

	static final int PARTS = 12;

	static final int RECORD_BYTES = 262_144;

	static final int CALL_BYTES = 2_097_152;

	private static final long APPEND_MS = 2;

	private static final int REMEMBERED_APPENDS = 5;

	private static final int PAGE_ITEMS = 500;

	private static final int PAGE_BYTES = 1_000_000;

	private final HttpListener listener;

	private final Map<String, Partition> partitions = new HashMap<>();

	private final Group group = new Group();

	private final Map<String, Integer> refusedAppends = new TreeMap<>();

	Store() throws IOException {
		this.listener = new HttpListener(this::handle);
	}

	String address() {
		return this.listener.address();
	}

	/** Opens a further address of the same store. */
	HttpListener openAddress() throws IOException {
		return new HttpListener(this::handle);
	}

	/** Counts appends that were refused because of a limit, by partition. */
	synchronized Map<String, Integer> refusedAppends() {
		return new TreeMap<>(this.refusedAppends);
	}

	synchronized void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
		record.put((byte) name.length).put(name).put(bytes);
		partition(topic, 0).add(record.array());
		notifyAll();
	}

	private Partition partition(String topic, long part) {
		return this.partitions.computeIfAbsent(topic + "/" + part, (key) -> new Partition());
	}

	private void handle(HttpListener.Request request, HttpListener.Response response) throws IOException {
		switch (request.path()) {
			case "/log-append" -> append(request, response);
			case "/log-read" -> read(request, response);
			case "/log-newest" -> newest(request, response);
			case "/log-join" -> json(response, 200, this.group.join(new String(request.body(), StandardCharsets.UTF_8)));
			case "/log-leave" -> json(response, 200, this.group.leave(new String(request.body(), StandardCharsets.UTF_8)));
			case "/log-owners" -> json(response, 200, this.group.owners());
			default -> json(response, 404, "{}");
		}
	}

	private static void json(HttpListener.Response response, int status, String body) throws IOException {
		response.header("Content-Type", "application/json");
		response.send(status, body.getBytes(StandardCharsets.UTF_8));
	}

	private void append(HttpListener.Request request, HttpListener.Response response) throws IOException {
		Threads.sleep(APPEND_MS);
		String topic = request.query("topic", "");
		long part = request.query("part", 0);
		List<byte[]> records = new ArrayList<>();
		ByteBuffer in = ByteBuffer.wrap(request.body());
		boolean tooLarge = request.body().length > CALL_BYTES;
		while (in.hasRemaining()) {
			byte[] record = new byte[in.getInt()];
			in.get(record);
			records.add(record);
			tooLarge |= record.length > RECORD_BYTES;
		}
		String answer;
		int status;
		synchronized (this) {
			if (tooLarge) {
				this.refusedAppends.merge(topic + "/" + part, 1, Integer::sum);
				status = 413;
				answer = "{\"why\":\"size\"}";
			}
			else {
				answer = partition(topic, part).append(request.query("producer", ""), request.query("epoch", 0),
						request.query("seq", 0), records);
				status = answer.startsWith("{\"why\"") ? 409 : 200;
				notifyAll();
			}
		}
		json(response, status, answer);
	}

	private void read(HttpListener.Request request, HttpListener.Response response) throws IOException {
		byte[] body;
		synchronized (this) {
			Partition partition = partition(request.query("topic", ""), request.query("part", 0));
			long from = request.query("from", 0);
			long until = System.nanoTime() + request.query("wait_ms", 0) * 1_000_000;
			for (long left = until - System.nanoTime(); from >= partition.records.size() && left > 0; left = until
					- System.nanoTime()) {
				try {
					wait(left / 1_000_000, (int) (left % 1_000_000));
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(partition.records.size());
			out.writeLong(0);
			long maxBytes = request.query("max_kb", 1024) * 1024;
			for (long offset = from; offset < partition.records.size() && bytes.size() < maxBytes; offset++) {
				byte[] record = partition.records.get((int) offset);
				out.writeInt(record.length);
				out.write(record);
			}
			body = bytes.toByteArray();
		}
		response.send(200, body);
	}

	private void newest(HttpListener.Request request, HttpListener.Response response) throws IOException {
		StringBuilder items = new StringBuilder();
		boolean more = false;
		long end;
		synchronized (this) {
			Partition partition = partition(request.query("topic", ""), request.query("part", 0));
			end = partition.records.size();
			int count = 0;
			for (Map.Entry<String, Integer> entry : partition.newest.tailMap(request.query("after", ""), false)
				.entrySet()) {
				if (count == PAGE_ITEMS || items.length() > PAGE_BYTES) {
					more = true;
					break;
				}
				byte[] record = partition.records.get(entry.getValue());
				byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
				items.append((count++ > 0) ? "," : "")
					.append("{\"key\":\"" + entry.getKey() + "\",\"value\":\""
							+ Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + entry.getValue() + "}");
			}
		}
		json(response, 200, "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end\":" + end + "}");
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private static final class Partition {

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Integer> newest = new TreeMap<>();

		private final Map<String, Producer> producers = new HashMap<>();

		String append(String producer, long epoch, long sequence, List<byte[]> added) {
			if (producer.isEmpty()) {
				return addAll(added);
			}
			Producer known = this.producers.computeIfAbsent(producer, (name) -> new Producer());
			if (epoch < known.epoch) {
				return "{\"why\":\"fenced\"}";
			}
			if (epoch > known.epoch) {
				known.epoch = epoch;
				known.next = sequence;
				known.answers.clear();
			}
			if (added.isEmpty()) {
				return addAll(added);
			}
			String repeated = known.answers.get(sequence);
			if (repeated != null) {
				return repeated;
			}
			if (sequence != known.next) {
				return "{\"why\":\"seq\",\"expected\":" + known.next + "}";
			}
			known.next++;
			String answer = addAll(added);
			known.answers.put(sequence, answer);
			known.answers.remove(sequence - REMEMBERED_APPENDS);
			return answer;
		}

		private String addAll(List<byte[]> added) {
			int offset = this.records.size();
			added.forEach(this::add);
			return "{\"offset\":" + offset + ",\"end\":" + this.records.size() + "}";
		}

		void add(byte[] record) {
			int keyEnd = 1 + (record[0] & 0xff);
			String key = new String(record, 1, keyEnd - 1, StandardCharsets.UTF_8);
			if (keyEnd == record.length) {
				this.newest.remove(key);
			}
			else {
				this.newest.put(key, this.records.size());
			}
			this.records.add(record);
		}

	}

	private static final class Producer {

		private final Map<Long, String> answers = new HashMap<>();

		private long epoch = -1;

		private long next;

	}

	/**
	 * Distributes partitions evenly. A partition that has to move is given to its next
	 * member once its holder has joined with the current generation, left or expired.
	 */
	private static final class Group {

		private final TreeMap<String, Long> expiryNanos = new TreeMap<>();

		private final Map<String, String> holders = new TreeMap<>();

		private final Map<String, String> targets = new TreeMap<>();

		private long generation;

		synchronized String join(String body) {
			String member = text(body, "member");
			Matcher topics = Pattern.compile("\"topics\":\\[([^]]*)]").matcher(body);
			boolean changed = false;
			if (topics.find()) {
				for (String topic : topics.group(1).replace("\"", "").split(",")) {
					for (int part = 0; part < PARTS; part++) {
						changed |= this.targets.putIfAbsent("\"" + topic + "\"," + part, "") == null;
					}
				}
			}
			changed |= this.expiryNanos.put(member, System.nanoTime() + number(body, "ttl_ms") * 1_000_000) == null;
			changed |= removeExpired();
			if (changed) {
				rebalance();
			}
			if (number(body, "generation") >= this.generation) {
				this.holders.replaceAll((part, holder) -> holder.equals(member) ? this.targets.get(part) : holder);
			}
			StringBuilder rows = new StringBuilder();
			this.holders.forEach((part, holder) -> {
				if (holder.equals(member) && this.targets.get(part).equals(member)) {
					rows.append((rows.length() > 0) ? "," : "").append("[" + part + ",0]");
				}
			});
			return "{\"generation\":" + this.generation + ",\"parts\":[" + rows + "]}";
		}

		synchronized String leave(String body) {
			if (this.expiryNanos.remove(text(body, "member")) != null) {
				rebalance();
			}
			return "{}";
		}

		synchronized String owners() {
			if (removeExpired()) {
				rebalance();
			}
			StringBuilder rows = new StringBuilder();
			this.holders.forEach((part, holder) -> {
				if (!holder.isEmpty()) {
					rows.append((rows.length() > 0) ? "," : "").append("[" + part + ",\"" + holder + "\",0]");
				}
			});
			return "{\"generation\":" + this.generation + ",\"parts\":[" + rows + "]}";
		}

		private boolean removeExpired() {
			long now = System.nanoTime();
			return this.expiryNanos.values().removeIf((expiry) -> expiry - now < 0);
		}

		private void rebalance() {
			this.generation++;
			List<String> members = new ArrayList<>(this.expiryNanos.keySet());
			Map<String, Integer> counts = new HashMap<>();
			int share = members.isEmpty() ? 0 : (this.targets.size() + members.size() - 1) / members.size();
			List<String> open = new ArrayList<>();
			this.targets.replaceAll((part, target) -> {
				if (members.contains(target) && counts.merge(target, 1, Integer::sum) <= share) {
					return target;
				}
				open.add(part);
				return "";
			});
			for (String part : open) {
				members.stream()
					.min(java.util.Comparator.comparing((member) -> counts.getOrDefault(member, 0)))
					.ifPresent((member) -> {
						counts.merge(member, 1, Integer::sum);
						this.targets.put(part, member);
					});
			}
			this.targets.forEach((part, target) -> this.holders.merge(part, target,
					(holder, next) -> members.contains(holder) ? holder : next));
		}

		private static String text(String body, String field) {
			Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(body);
			return matcher.find() ? matcher.group(1) : "";
		}

		private static long number(String body, String field) {
			Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
			return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
		}

	}

}

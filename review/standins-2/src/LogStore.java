import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store as PROTOCOL.md describes it: partitions with epochs,
 * keyed topics, one group with a cooperative handover, and the limits of the settings.
 */
final class LogStore implements AutoCloseable {

	static final int RECORD_BYTES = 262_144;

	static final int CALL_BYTES = 2_097_152;

	static final int PARTS = 12;

	private static final long ANSWER_MS = 4;

	private static final long APPEND_MS = 2;

	private static final int PAGE_ITEMS = 500;

	private static final int PAGE_BYTES = 1 << 20;

	private static final long PART_BYTES_PER_MS = 20_000;

	private static final long READ_BYTES_PER_MS = 80_000;

	private static final int PART_BYTES = 16_384;

	/** The pace is kept over this time, as a thread wakes up late. */
	private static final long SLACK_NANOS = 5_000_000;

	private static final long TOTAL_BYTES = 400_000_000;

	private final HttpServer server;

	private final Map<String, Partition> partitions = new HashMap<>();

	private final Group group = new Group();

	private final Rate writes = new Rate(800);

	private final Rate reads = new Rate(2000);

	private final AtomicLong storedBytes = new AtomicLong();

	private final ReentrantLock readTurns = new ReentrantLock(true);

	private long readBusyUntilNanos = System.nanoTime();

	private final Map<String, Integer> refusals = new TreeMap<>();

	LogStore() throws IOException {
		this.server = new HttpServer(this::handle);
	}

	String address() {
		return this.server.address();
	}

	private Partition partition(String topic, long part) {
		synchronized (this.partitions) {
			return this.partitions.computeIfAbsent(topic + "/" + part, (key) -> new Partition());
		}
	}

	/** Writes a record as the operator or an engine does. */
	void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] content = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer record = ByteBuffer.allocate(5 + name.length + content.length);
		record.putInt(1 + name.length + content.length).put((byte) name.length).put(name).put(content);
		partition(topic, 0).append("", 0, 0, record.array());
	}

	long newestBytes(String topicPrefix) {
		long sum = 0;
		synchronized (this.partitions) {
			for (Map.Entry<String, Partition> entry : this.partitions.entrySet()) {
				sum += entry.getKey().startsWith(topicPrefix) ? entry.getValue().newestBytes() : 0;
			}
		}
		return sum;
	}

	/** Returns how many calls were refused, by cause. */
	String refusals() {
		synchronized (this.refusals) {
			return this.refusals.toString();
		}
	}

	/** Returns the members that hold partitions, with their numbers of partitions. */
	Map<String, Integer> holders() {
		return this.group.holders();
	}

	static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void refuse(HttpServer.Response response, String call, int status, String why) throws IOException {
		synchronized (this.refusals) {
			this.refusals.merge(call + " " + status + " " + why, 1, Integer::sum);
		}
		response.json(status, "{\"why\":\"" + why + "\"}");
	}

	private void handle(HttpServer.Request request, HttpServer.Response response) throws IOException {
		String call = request.method() + " " + request.path();
		boolean write = request.method().equals("POST") && !call.equals("POST /log-join");
		if (!(call.equals("POST /log-join") || (write ? this.writes : this.reads).admit())) {
			refuse(response, call, 429, "rate");
			return;
		}
		pause(ANSWER_MS - (call.equals("POST /log-append") ? APPEND_MS : 0));
		switch (call) {
			case "POST /log-append" -> append(request, response);
			case "GET /log-read" -> read(request, response);
			case "GET /log-newest" -> newest(request, response);
			case "POST /log-join" -> response.json(200,
					this.group.join(new String(request.body(), StandardCharsets.UTF_8)));
			case "POST /log-leave" -> {
				this.group.leave(Group.text(new String(request.body(), StandardCharsets.UTF_8), "member"));
				response.json(200, "{}");
			}
			case "GET /log-owners" -> response.json(200, this.group.owners());
			default -> refuse(response, call, 404, "unknown");
		}
	}

	private void append(HttpServer.Request request, HttpServer.Response response) throws IOException {
		byte[] body = request.body();
		ByteBuffer in = ByteBuffer.wrap(body);
		while (in.hasRemaining()) {
			int length = in.getInt();
			if (length > RECORD_BYTES) {
				refuse(response, "append", 413, "record of over " + RECORD_BYTES + " bytes");
				return;
			}
			in.position(in.position() + length);
		}
		if (body.length > CALL_BYTES) {
			refuse(response, "append", 413, "call of over " + CALL_BYTES + " bytes");
			return;
		}
		if (this.storedBytes.addAndGet(body.length) > TOTAL_BYTES) {
			refuse(response, "append", 507, "full");
			return;
		}
		Answer answer = partition(request.query().getOrDefault("topic", ""), request.number("part")).append(
				request.query().getOrDefault("producer", ""), request.number("epoch"), request.number("seq"), body);
		if (answer.status() != 200) {
			synchronized (this.refusals) {
				this.refusals.merge("append " + answer.status(), 1, Integer::sum);
			}
		}
		response.json(answer.status(), answer.body());
	}

	private void read(HttpServer.Request request, HttpServer.Response response) throws IOException {
		Partition partition = partition(request.query().getOrDefault("topic", ""), request.number("part"));
		byte[] bytes = partition.read((int) request.number("from"), request.number("wait_ms"));
		send(response, bytes);
	}

	private void newest(HttpServer.Request request, HttpServer.Response response) throws IOException {
		String page = partition(request.query().getOrDefault("topic", ""), request.number("part"))
			.newest(request.query().getOrDefault("after", ""));
		send(response, page.getBytes(StandardCharsets.UTF_8));
	}

	// All reads share the reading speed of the store in equal parts. A read whose caller
	// has closed the connection ends with its next part.
	private void send(HttpServer.Response response, byte[] body) throws IOException {
		response.head(200, Map.of(), "Content-Length: " + body.length);
		for (int from = 0; from < body.length; from += PART_BYTES) {
			int length = Math.min(PART_BYTES, body.length - from);
			this.readTurns.lock();
			try {
				this.readBusyUntilNanos = Math.max(this.readBusyUntilNanos, System.nanoTime() - SLACK_NANOS)
						+ length * 1_000_000L / READ_BYTES_PER_MS;
				long waitNanos = this.readBusyUntilNanos - System.nanoTime();
				if (waitNanos > 0) {
					LockSupport.parkNanos(waitNanos);
				}
			}
			finally {
				this.readTurns.unlock();
			}
			response.out().write(body, from, length);
			response.out().flush();
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	private record Answer(int status, String body) {

	}

	private record Newest(int offset, byte[] value) {

	}

	private static final class Rate {

		private final Deque<Long> calls = new ArrayDeque<>();

		private final int perSecond;

		Rate(int perSecond) {
			this.perSecond = perSecond;
		}

		synchronized boolean admit() {
			long now = System.nanoTime();
			while (!this.calls.isEmpty() && now - this.calls.peekFirst() > 1_000_000_000L) {
				this.calls.removeFirst();
			}
			if (this.calls.size() >= this.perSecond) {
				return false;
			}
			this.calls.addLast(now);
			return true;
		}

	}

	private static final class Producer {

		private final Map<Long, Answer> last = new HashMap<>();

		private long epoch = -1;

		private long next;

	}

	private static final class Partition {

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Newest> newest = new TreeMap<>();

		private final Map<String, Producer> producers = new HashMap<>();

		synchronized Answer append(String name, long epoch, long sequence, byte[] body) {
			pause(APPEND_MS + body.length / PART_BYTES_PER_MS);
			if (name.isEmpty()) {
				return add(body);
			}
			Producer producer = this.producers.computeIfAbsent(name, (key) -> new Producer());
			if (epoch < producer.epoch) {
				return new Answer(409, "{\"why\":\"fenced\"}");
			}
			if (epoch > producer.epoch) {
				producer.epoch = epoch;
				producer.next = sequence;
				producer.last.clear();
			}
			if (body.length == 0) {
				return add(body);
			}
			Answer repeated = producer.last.get(sequence);
			if (repeated != null) {
				return repeated;
			}
			if (sequence != producer.next) {
				return new Answer(409, "{\"why\":\"seq\",\"expected\":" + producer.next + "}");
			}
			producer.next++;
			Answer answer = add(body);
			producer.last.put(sequence, answer);
			producer.last.remove(sequence - 5);
			return answer;
		}

		private Answer add(byte[] body) {
			int offset = this.records.size();
			ByteBuffer in = ByteBuffer.wrap(body);
			while (in.hasRemaining()) {
				byte[] record = new byte[in.getInt()];
				in.get(record);
				int keyLength = record[0] & 0xff;
				String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
				if (record.length == 1 + keyLength) {
					this.newest.remove(key);
				}
				else {
					byte[] value = new byte[record.length - 1 - keyLength];
					System.arraycopy(record, 1 + keyLength, value, 0, value.length);
					this.newest.put(key, new Newest(this.records.size(), value));
				}
				this.records.add(record);
			}
			notifyAll();
			return new Answer(200, "{\"offset\":" + offset + ",\"end\":" + this.records.size() + "}");
		}

		synchronized byte[] read(int from, long waitMs) throws IOException {
			long until = System.nanoTime() + waitMs * 1_000_000;
			for (long left = waitMs; from >= this.records.size() && left > 0; left = (until - System.nanoTime())
					/ 1_000_000) {
				try {
					wait(left);
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(this.records.size());
			out.writeLong(0);
			for (int offset = from; offset < this.records.size() && bytes.size() < PAGE_BYTES; offset++) {
				out.writeInt(this.records.get(offset).length);
				out.write(this.records.get(offset));
			}
			return bytes.toByteArray();
		}

		synchronized String newest(String after) {
			StringBuilder items = new StringBuilder();
			SortedMap<String, Newest> rest = after.isEmpty() ? this.newest : this.newest.tailMap(after, false);
			int count = 0;
			int bytes = 0;
			for (Map.Entry<String, Newest> entry : rest.entrySet()) {
				Newest record = entry.getValue();
				if (count == PAGE_ITEMS || (count > 0 && bytes + record.value().length > PAGE_BYTES)) {
					break;
				}
				items.append((count > 0) ? "," : "")
					.append("{\"key\":\"" + entry.getKey() + "\",\"value\":\"")
					.append(Base64.getEncoder().encodeToString(record.value()))
					.append("\",\"offset\":" + record.offset() + "}");
				count++;
				bytes += record.value().length;
			}
			return "{\"items\":[" + items + "],\"has_more\":" + (rest.size() > count) + ",\"end\":"
					+ this.records.size() + "}";
		}

		synchronized long newestBytes() {
			return this.newest.values().stream().mapToLong((record) -> record.value().length).sum();
		}

	}

	/** The members of one group. Partitions move once their holder has acknowledged it. */
	private static final class Group {

		private final TreeMap<String, Long> members = new TreeMap<>();

		private final TreeSet<String> topics = new TreeSet<>();

		private final Map<String, String> holders = new LinkedHashMap<>();

		private final Map<String, String> targets = new LinkedHashMap<>();

		private long generation;

		static String text(String json, String field) {
			Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
			return matcher.find() ? matcher.group(1) : "";
		}

		static long number(String json, String field) {
			Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
			return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
		}

		synchronized String join(String json) {
			String member = text(json, "member");
			long now = System.nanoTime();
			expire(now);
			Matcher named = Pattern.compile("\"topics\":\\[([^]]*)]").matcher(json);
			if (named.find()) {
				for (String topic : named.group(1).split(",")) {
					this.topics.add(topic.replace("\"", "").trim());
				}
			}
			if (this.members.put(member, now + number(json, "ttl_ms") * 1_000_000) == null) {
				change();
			}
			else if (number(json, "generation") >= this.generation) {
				this.holders.replaceAll((part, holder) -> holder.equals(member) ? this.targets.get(part) : holder);
			}
			StringBuilder parts = new StringBuilder();
			this.holders.forEach((part, holder) -> {
				if (holder.equals(member) && this.targets.get(part).equals(member)) {
					parts.append((parts.length() > 0) ? "," : "").append("[" + part + ",0]");
				}
			});
			return "{\"generation\":" + this.generation + ",\"parts\":[" + parts + "]}";
		}

		private void expire(long now) {
			if (this.members.values().removeIf((until) -> until - now < 0)) {
				change();
			}
		}

		synchronized void leave(String member) {
			if (this.members.remove(member) != null) {
				change();
			}
		}

		// Partitions are spread evenly; as few as possible move.
		private void change() {
			this.generation++;
			List<String> parts = new ArrayList<>();
			for (String topic : this.topics) {
				for (int part = 0; part < PARTS; part++) {
					parts.add("\"" + topic + "\"," + part);
				}
			}
			if (this.members.isEmpty()) {
				this.holders.clear();
				this.targets.clear();
				return;
			}
			int most = (parts.size() + this.members.size() - 1) / this.members.size();
			Map<String, Integer> counts = new TreeMap<>();
			this.members.keySet().forEach((member) -> counts.put(member, 0));
			for (String part : parts) {
				String holder = this.holders.get(part);
				if (holder != null && counts.containsKey(holder) && counts.get(holder) < most) {
					this.targets.put(part, holder);
					counts.merge(holder, 1, Integer::sum);
				}
				else {
					this.targets.remove(part);
				}
			}
			for (String part : parts) {
				if (!this.targets.containsKey(part)) {
					String least = counts.entrySet().stream().min(Map.Entry.comparingByValue()).get().getKey();
					this.targets.put(part, least);
					counts.merge(least, 1, Integer::sum);
				}
				String holder = this.holders.get(part);
				if (holder == null || !this.members.containsKey(holder)) {
					this.holders.put(part, this.targets.get(part));
				}
			}
		}

		synchronized String owners() {
			expire(System.nanoTime());
			StringBuilder rows = new StringBuilder();
			this.holders.forEach((part, holder) -> rows.append((rows.length() > 0) ? "," : "")
				.append("[" + part + ",\"" + holder + "\",0]"));
			return "{\"generation\":" + this.generation + ",\"parts\":[" + rows + "]}";
		}

		synchronized Map<String, Integer> holders() {
			expire(System.nanoTime());
			Map<String, Integer> counts = new TreeMap<>();
			this.holders.values().forEach((holder) -> counts.merge(holder, 1, Integer::sum));
			return counts;
		}

	}

}

package org.hemlockgw.standins.platform;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.standins.http.Exchange;
import org.hemlockgw.standins.http.StandinHttpServer;

/**
 * Stand-in of the platform's store: keyed topics, producers with epochs, one group, and
 * switches for its disturbances.
 */
public final class StoreServer implements AutoCloseable {

	/** Items of one page, small so that paging is used. */
	private static final int PAGE_ITEMS = 50;

	private final StandinHttpServer server;

	private final Map<String, StorePartition> partitions = new HashMap<>();

	private final TreeMap<String, Long> members = new TreeMap<>();

	private final int partitionsPerTopic;

	private final TreeSet<String> topics = new TreeSet<>();

	private long generation;

	private final FaultInjector faults = new FaultInjector();

	private int answersToLose;

	private Duration answerDelay = Duration.ZERO;

	private Duration appendDelay = Duration.ZERO;

	private int lateAppends;

	private int joinsToLose;

	private int rotation;

	public StoreServer(int partitionsPerTopic) {
		this.partitionsPerTopic = partitionsPerTopic;
		this.server = new StandinHttpServer("127.0.0.1:0", this::handle);
		this.server.start();
	}

	public String address() {
		return this.server.address();
	}

	/**
	 * Opens another address, so that some clients can be turned away by stopping it.
	 * @return the listening server
	 */
	public StandinHttpServer openAddress() {
		StandinHttpServer gate = new StandinHttpServer("127.0.0.1:0", this::handle);
		gate.start();
		return gate;
	}

	/**
	 * Starts or ends an outage.
	 * @param value true to answer 503
	 */
	public void setDown(boolean value) {
		setFault(value ? StoreFault.BUSY : StoreFault.NONE);
	}

	/**
	 * Sets the fault of all calls. Reads that wait for records are interrupted by faults
	 * of connections.
	 * @param fault the fault
	 */
	public synchronized void setFault(StoreFault fault) {
		this.faults.setFault(fault);
		notifyAll();
	}

	/**
	 * Sets the seed from which the answers to lose are drawn.
	 * @param seed the seed
	 */
	public void setFaultSeed(long seed) {
		this.faults.setSeed(seed);
	}

	/**
	 * Loses the answers of the next appends, which are done all the same.
	 * @param count how many
	 */
	public synchronized void loseAnswers(int count) {
		this.answersToLose = count;
	}

	/**
	 * Loses the next joins.
	 * @param count how many
	 */
	public synchronized void loseJoins(int count) {
		this.joinsToLose = count;
	}

	/**
	 * Sets how much later all answers come.
	 * @param delay the time; zero for a store at its usual speed
	 */
	public synchronized void setAnswerDelay(Duration delay) {
		this.answerDelay = delay;
	}

	/**
	 * Does the next appends later, without an answer.
	 * @param count how many
	 * @param delay the time until they are done
	 */
	public synchronized void delayAppends(int count, Duration delay) {
		this.lateAppends = count;
		this.appendDelay = delay;
	}

	/**
	 * Drops all records but the newest of each key, from all topics.
	 */
	public synchronized void dropHistory() {
		this.partitions.values().forEach(StorePartition::dropHistory);
		notifyAll();
	}

	/**
	 * Gives all partitions to other members at once.
	 */
	public synchronized void reassign() {
		this.rotation++;
		this.generation++;
	}

	/**
	 * Writes a record as the operator or an engine does.
	 * @param topic a keyed topic
	 * @param key key
	 * @param value value; empty to drop the key
	 */
	public void put(String topic, String key, String value) {
		put(topic, key, value.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Writes a record whose value need not be text.
	 * @param topic a keyed topic
	 * @param key key
	 * @param value value; empty to drop the key
	 */
	public synchronized void put(String topic, String key, byte[] value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		ByteBuffer record = ByteBuffer.allocate(Integer.BYTES + 1 + name.length + value.length);
		record.putInt(1 + name.length + value.length).put((byte) name.length).put(name).put(value);
		partition(topic, 0).append(null, 0, 0, record.array());
		notifyAll();
	}

	/**
	 * Returns how many keys the first partition of a topic has.
	 * @param topic a keyed topic
	 * @return the number of keys
	 */
	public synchronized int keyCount(String topic) {
		return partition(topic, 0).newest().size();
	}

	private StorePartition partition(String topic, long part) {
		return this.partitions.computeIfAbsent(topic + "/" + part, (key) -> new StorePartition());
	}

	private void handle(Exchange exchange) throws IOException {
		this.faults.handle(exchange, this::execute);
	}

	private void execute(Exchange exchange) throws IOException {
		Duration delay;
		synchronized (this) {
			delay = this.answerDelay;
		}
		FaultInjector.pause(delay);
		switch (exchange.route()) {
			case "POST /log-append" -> append(exchange);
			case "GET /log-read" -> read(exchange);
			case "GET /log-newest" -> newest(exchange);
			case "POST /log-join" -> join(exchange);
			case "POST /log-leave" -> leave(exchange);
			case "GET /log-owners" -> owners(exchange);
			default -> exchange.respondError(404, exchange.route());
		}
	}

	private static void respondUnlessLost(Exchange exchange, @Nullable Map<String, Object> answer) throws IOException {
		if (answer == null) {
			FaultInjector.keepSilent();
			return;
		}
		exchange.respond((Integer) answer.getOrDefault("status", 200), answer);
	}

	private void append(Exchange exchange) throws IOException {
		byte[] body = exchange.body();
		Map<String, Object> answer;
		synchronized (this) {
			if (body.length > 0 && this.lateAppends > 0) {
				this.lateAppends--;
				CompletableFuture.delayedExecutor(this.appendDelay.toMillis(), TimeUnit.MILLISECONDS)
					.execute(() -> append(exchange, body));
				answer = null;
			}
			else {
				answer = append(exchange, body);
				if (body.length > 0 && this.answersToLose > 0) {
					this.answersToLose--;
					answer = null;
				}
			}
		}
		respondUnlessLost(exchange, answer);
	}

	private synchronized Map<String, Object> append(Exchange exchange, byte[] body) {
		String producer = exchange.queryText("producer", "");
		Map<String, Object> answer = partition(exchange.queryText("topic", ""), exchange.queryNumber("part", 0)).append(
				producer.isEmpty() ? null : producer, exchange.queryNumber("epoch", 0), exchange.queryNumber("seq", 0),
				body);
		notifyAll();
		return answer;
	}

	private synchronized void read(Exchange exchange) throws IOException {
		StorePartition partition = partition(exchange.queryText("topic", ""), exchange.queryNumber("part", 0));
		long from = exchange.queryNumber("from", 0);
		long interruptions = this.faults.interruptionCount();
		long until = System.nanoTime() + exchange.queryNumber("wait_ms", 0) * 1_000_000;
		try {
			for (long left = until - System.nanoTime(); from >= partition.end() && left > 0
					&& this.faults.interruptionCount() == interruptions; left = until - System.nanoTime()) {
				wait(left / 1_000_000, (int) (left % 1_000_000));
			}
		}
		catch (InterruptedException ex) {
			throw new IOException("stopped", ex);
		}
		if (from < partition.first()) {
			exchange.respond(410, Map.of("first", partition.first()));
			return;
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(partition.end());
		out.writeLong(partition.first());
		for (long offset = from; offset < partition.end(); offset++) {
			byte[] record = partition.record(offset);
			out.writeInt(record.length);
			out.write(record);
		}
		exchange.respondBytes(200, bytes.toByteArray());
	}

	private synchronized void newest(Exchange exchange) throws IOException {
		StorePartition partition = partition(exchange.queryText("topic", ""), exchange.queryNumber("part", 0));
		Map<String, StorePartition.Newest> rest = partition.newest().tailMap(exchange.queryText("after", ""), false);
		List<Map<String, Object>> items = new ArrayList<>();
		for (Map.Entry<String, StorePartition.Newest> entry : rest.entrySet()) {
			if (items.size() == PAGE_ITEMS) {
				break;
			}
			StorePartition.Newest record = entry.getValue();
			items.add(Map.of("key", entry.getKey(), "value", Base64.getEncoder().encodeToString(record.value()),
					"offset", record.offset()));
		}
		exchange.respond(200, Map.of("items", items, "has_more", rest.size() > items.size(), "end", partition.end()));
	}

	private void join(Exchange exchange) throws IOException {
		Map<String, Object> answer;
		synchronized (this) {
			if (this.joinsToLose > 0) {
				this.joinsToLose--;
				answer = null;
			}
			else {
				answer = join(exchange.json(JsonNode.class));
			}
		}
		respondUnlessLost(exchange, answer);
	}

	private Map<String, Object> join(JsonNode body) {
		String member = body.path("member").asText();
		body.path("topics").forEach((topic) -> this.topics.add(topic.asText()));
		long now = System.nanoTime();
		boolean fresh = this.members.put(member, now + body.path("ttl_ms").asLong() * 1_000_000) == null;
		boolean expired = this.members.values().removeIf((until) -> until - now < 0);
		if (fresh || expired) {
			this.generation++;
		}
		List<List<Object>> rows = new ArrayList<>();
		assignment().forEach((row, holder) -> {
			if (holder.equals(member)) {
				rows.add(row);
			}
		});
		return Map.of("generation", this.generation, "parts", rows);
	}

	private synchronized void leave(Exchange exchange) throws IOException {
		if (this.members.remove(exchange.json(JsonNode.class).path("member").asText()) != null) {
			this.generation++;
		}
		exchange.respond(200, Map.of());
	}

	private synchronized void owners(Exchange exchange) throws IOException {
		List<List<Object>> rows = new ArrayList<>();
		assignment().forEach((row, holder) -> rows.add(List.of(row.get(0), row.get(1), holder, 0)));
		exchange.respond(200, Map.of("generation", this.generation, "parts", rows));
	}

	private Map<List<Object>, String> assignment() {
		List<String> names = List.copyOf(this.members.keySet());
		Map<List<Object>, String> rows = new LinkedHashMap<>();
		int next = this.rotation;
		for (String topic : this.topics) {
			for (int part = 0; part < this.partitionsPerTopic && !names.isEmpty(); part++) {
				rows.put(List.of(topic, part, 0), names.get(next++ % names.size()));
			}
		}
		return rows;
	}

	@Override
	public void close() {
		this.server.close();
	}

}

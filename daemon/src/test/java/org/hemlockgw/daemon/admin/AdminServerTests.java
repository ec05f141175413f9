package org.hemlockgw.daemon.admin;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.opentelemetry.api.trace.Span;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.config.ConfigHistory;
import org.hemlockgw.core.config.ConfigSnapshot;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.Ownership;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.daemon.config.HttpPeerConfiguration;
import org.hemlockgw.daemon.trace.Tracing;
import org.hemlockgw.remote.admin.AdminClient;
import org.hemlockgw.remote.admin.HttpAdminClient;

import static com.google.common.truth.Truth.assertThat;

class AdminServerTests {

	private static final long TIMEOUT_S = 5;

	private static final Incarnation SELF = new Incarnation("entry-1", "i1");

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final HttpAdminClient client = new HttpAdminClient(this.executor);

	private final AtomicReference<Optional<ConfigSnapshot>> configuration = new AtomicReference<>(Optional.empty());

	private final AtomicReference<Readiness> readiness = new AtomicReference<>(new Readiness(false, "configuration"));

	private final MetricRegistry metrics = new MetricRegistry();

	private final Blackboard blackboard = Blackboard.create();

	private final MemoryJournal journal = new MemoryJournal(() -> Instant.EPOCH);

	private final Tracing tracing = new Tracing("entry-1");

	private final AtomicInteger drains = new AtomicInteger();

	private final CountDownLatch drained = new CountDownLatch(1);

	private final AdminServer server = server();

	@BeforeTry
	void start() throws IOException {
		this.server.start();
	}

	@AfterTry
	void close() {
		this.server.close();
		this.client.close();
		this.tracing.close();
		this.executor.shutdownNow();
	}

	// Guards against a balancer that sends calls to a daemon that is not ready.
	@Example
	void tellsWhetherTheDaemonIsReady() throws Exception {
		assertThat(send("GET", "/ready").status()).isEqualTo(503);
		this.readiness.set(new Readiness(true, ""));
		assertThat(send("GET", "/ready").status()).isEqualTo(200);
		assertThat(send("POST", "/ready").status()).isEqualTo(405);
		assertThat(send("GET", "/nothing").body()).contains("/traces/{trace}");
	}

	// Guards against status fields that hemlockctl does not find.
	@Example
	void showsStatusAndMetrics() throws Exception {
		Ownership holder = new Ownership(3, SELF, true, Instant.EPOCH, List.of());
		this.blackboard.control()
			.set(new ControlState(1, Map.of("entry-1", SELF), Map.of(new ShardId(7), holder, new ShardId(2), holder),
					Map.of("e1", holder), Map.of(), Set.of()));
		JsonNode status = json("/status");
		assertThat(status.path("shards").path("entry-1/i1").toString()).isEqualTo("[2,7]");
		assertThat(status.path("engines").path(0).path("dispatcher")).isEqualTo(status.path("incarnation"));
		this.metrics.counter("calls").inc();
		this.metrics.timer("turn").update(3, TimeUnit.MILLISECONDS);
		JsonNode values = json("/metrics");
		assertThat(values.path("counters").path("calls").asInt()).isEqualTo(1);
		assertThat(values.path("timers").path("turn").path("max").asDouble()).isEqualTo(3.0);
	}

	// Guards against events and spans that cannot be found by the identifiers that the
	// caller received, and against memory that grows with requests.
	@Example
	void explainsRequestsAndTraces() throws Exception {
		ProgramId program = new ProgramId("a", "p");
		assertThat(send("GET", "/explain/r1").status()).isEqualTo(404);
		this.journal.record(program, "r1", "owner", "engine_chosen", "x".repeat(1000));
		JsonNode event = json("/explain/r1").path("events").path(0);
		assertThat(event.path("event").asText()).isEqualTo("engine_chosen");
		assertThat(event.path("reason").asText()).hasLength(200);
		for (int i = 0; i < MemoryJournal.MAX_REQUESTS; i++) {
			this.journal.record(program, "other-" + i, "owner", "admitted", "");
		}
		assertThat(this.journal.find("r1")).isEmpty();
		Span span = this.tracing.start("owner", "");
		span.end();
		JsonNode found = json("/traces/" + span.getSpanContext().getTraceId()).path("spans").path(0);
		assertThat(found.path("name").asText()).isEqualTo("owner");
		assertThat(found.path("vm").asText()).isEqualTo("entry-1");
	}

	// Guards against a newcomer that cannot read what a peer sends during a log outage.
	@Example
	void sendsTheConfigurationToPeers() throws Exception {
		Vm vm = new Vm("entry-1", "127.0.0.1:1", this.server.address(), "sto-a", 1, VmKind.ENTRY, VmState.LIVE);
		HttpPeerConfiguration peers = new HttpPeerConfiguration("entry-2", () -> Map.of("entry-1", vm), this.client);
		assertThat(peers.fetch().handle((ok, error) -> error).get(TIMEOUT_S, TimeUnit.SECONDS)).isNotNull();
		ConfigSnapshot snapshot = new ConfigSnapshot(4, 2, JsonNodeFactory.instance.objectNode(), ConfigHistory.EMPTY);
		this.configuration.set(Optional.of(snapshot));
		assertThat(peers.fetch().get(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(snapshot);
	}

	// Guards against a second drain request that starts the shutdown again.
	@Example
	void drainsOnce() throws Exception {
		assertThat(send("POST", "/drain").status()).isEqualTo(202);
		assertThat(send("POST", "/drain").status()).isEqualTo(202);
		assertThat(this.drained.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
		assertThat(this.drains.get()).isEqualTo(1);
	}

	private AdminServer server() {
		AdminSources sources = new AdminSources(() -> SELF, this.readiness::get, this.metrics, this.blackboard,
				this.journal, this.tracing.store(), this.configuration::get, () -> {
					this.drains.incrementAndGet();
					this.drained.countDown();
				});
		try {
			return new AdminServer("127.0.0.1:0", sources);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private AdminClient.Response send(String method, String path) throws Exception {
		return this.client.send(method, this.server.address(), path).get(TIMEOUT_S, TimeUnit.SECONDS);
	}

	private JsonNode json(String path) throws Exception {
		AdminClient.Response response = send("GET", path);
		assertThat(response.status()).isEqualTo(200);
		return new ObjectMapper().readTree(response.body());
	}

}

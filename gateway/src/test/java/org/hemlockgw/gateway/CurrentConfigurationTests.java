package org.hemlockgw.gateway;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.account.AccountDirectory;
import org.hemlockgw.core.account.ConfigurationProof;
import org.hemlockgw.core.account.ProofSource;
import org.hemlockgw.core.route.CallerLimits;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.owner.MemberName;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.telemetry.Metrics;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link CurrentConfiguration}.
 */
class CurrentConfigurationTests {

	private final EventLoop loop = new DefaultEventLoop();

	private long nanos = TimeUnit.SECONDS.toNanos(1000);

	private final ConfigurationProof proof = new ConfigurationProof(Duration.ofMillis(5000), () -> this.nanos,
			() -> Instant.ofEpochSecond(0, this.nanos));

	private final CurrentConfiguration configuration = newConfiguration();

	@AfterEach
	void stop() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private CurrentConfiguration newConfiguration() {
		MemberName self = new MemberName("127.0.0.1:1", "a", "x");
		PeerLinks links = new PeerLinks(this.loop, self.text(), () -> this.nanos);
		// The store is not called before the membership starts.
		StateStore store = (StateStore) Proxy.newProxyInstance(StateStore.class.getClassLoader(),
				new Class<?>[] { StateStore.class }, (proxy, method, arguments) -> {
					throw new UnsupportedOperationException(method.getName());
				});
		Membership membership = new Membership(this.loop, store, () -> Instant.ofEpochSecond(0, this.nanos),
				() -> this.nanos, self, links, () -> {
				});
		return new CurrentConfiguration(this.loop, this.proof, membership, links, new Metrics(), (table) -> {
		});
	}

	private static RoutingTable table(long version) {
		return new RoutingTable(version, List.of(), Map.of(), CallerLimits.DEFAULT,
				new AccountDirectory.Builder().build());
	}

	private long now() {
		return this.proof.clock().getAsLong();
	}

	private void elapse(long millis) {
		this.nanos += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	// Guards against keys that stay in use because a document without them has the
	// version of the document in force, or a lower one.
	@ParameterizedTest
	@CsvSource({ "5, other, false", "4, older, false", "5, first, true", "6, other, true" })
	void rejectedDocumentWithholdsProofs(long version, String document, boolean proven) {
		this.configuration.changed(table(5), "first".getBytes(StandardCharsets.UTF_8));
		this.configuration.confirmed(now(), ProofSource.READ);
		assertThat(this.proof.isValid()).isTrue();
		elapse(4600);
		this.configuration.changed(table(version), document.getBytes(StandardCharsets.UTF_8));
		this.configuration.confirmed(now(), ProofSource.POLL);
		assertThat(this.proof.isValid()).isEqualTo(proven);
		this.configuration.changed(table(7), "third".getBytes(StandardCharsets.UTF_8));
		this.configuration.confirmed(now(), ProofSource.POLL);
		assertThat(this.proof.isValid()).isTrue();
	}

	// Guards against daemons that prove different documents of the same version to each
	// other.
	@Test
	void onlyTheSameDocumentIsProvenByAPeer() {
		CurrentConfiguration other = newConfiguration();
		other.changed(table(5), "other".getBytes(StandardCharsets.UTF_8));
		other.confirmed(now(), ProofSource.READ);
		this.configuration.changed(table(5), "first".getBytes(StandardCharsets.UTF_8));
		assertThat(this.configuration.use(reply(other), "peer", now())).isFalse();
		CurrentConfiguration same = newConfiguration();
		same.changed(table(5), "first".getBytes(StandardCharsets.UTF_8));
		assertThat(this.configuration.use(reply(same), "peer", now())).isTrue();
	}

	private static PeerMessage.ProofReply reply(CurrentConfiguration peer) {
		List<PeerMessage> replies = new ArrayList<>();
		peer.handle(new PeerMessage.ProofRequest(5, 0), replies::add);
		return (PeerMessage.ProofReply) replies.get(0);
	}

	// Guards against an outage of the store that takes all daemons out for its whole
	// length, and against a daemon that stays ready although only its own proof expired.
	@Test
	void daemonIsNotReadyForALimitedTime() {
		assertThat(this.configuration.isReady()).isFalse();
		this.configuration.changed(table(5), "first".getBytes(StandardCharsets.UTF_8));
		assertThat(this.configuration.isReady()).isFalse();
		this.configuration.confirmed(now(), ProofSource.READ);
		assertThat(this.configuration.isReady()).isTrue();
		elapse(4500);
		assertThat(this.configuration.isReady()).isFalse();
		elapse(8999);
		assertThat(this.configuration.isReady()).isFalse();
		elapse(2);
		assertThat(this.configuration.isReady()).isTrue();
	}

}

package org.hemlockgw.core.control;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlRecord.ClaimEngines;
import org.hemlockgw.core.control.ControlRecord.ClaimShards;
import org.hemlockgw.core.control.ControlRecord.Down;
import org.hemlockgw.core.control.ControlRecord.Quarantine;
import org.hemlockgw.core.control.ControlRecord.ReleaseShards;
import org.hemlockgw.core.control.ControlRecord.Started;
import org.hemlockgw.core.control.ControlRecord.TakeOverCompleted;

import static com.google.common.truth.Truth.assertThat;

class ControlStateBuilderTests {

	private static final Instant AT = Instant.parse("2026-01-01T00:00:00Z");

	private static final ShardId SHARD = new ShardId(5);

	private static final Incarnation A = new Incarnation("vm1", "a");

	private static final Incarnation B = new Incarnation("vm2", "b");

	private static final Incarnation A2 = new Incarnation("vm1", "a2");

	// Guards against two owners of one epoch when claims, releases and down reports are
	// duplicated or arrive in any order.
	@Property(seed = "21", tries = 1000, shrinking = ShrinkingMode.OFF)
	void oneOwnerPerEpoch(@ForAll @IntRange(max = 1_000_000) int seed) {
		Random random = new Random(seed);
		List<Incarnation> incarnations = List.of(A, B, A2);
		ControlStateBuilder builder = new ControlStateBuilder(ControlState.EMPTY);
		Map<Long, Incarnation> owners = new HashMap<>();
		long last = 0;
		for (int i = 0; i < 80; i++) {
			Incarnation by = incarnations.get(random.nextInt(3));
			Map<ShardId, Long> epochs = Map.of(SHARD, Math.max(1, last - 1 + random.nextInt(4)));
			builder.apply(i, AT, switch (random.nextInt(7)) {
				case 0 -> new Started(by, AT);
				case 1 -> new Down(by, "vm9", "", AT);
				case 2 -> new ReleaseShards(by, epochs);
				case 3 -> new TakeOverCompleted(by, epochs);
				default -> new ClaimShards(by, epochs, AT);
			});
			Ownership ownership = builder.state().shardOwnership(SHARD);
			assertThat(ownership.epoch()).isAnyOf(last, last + 1);
			last = ownership.epoch();
			if (ownership.incarnation() != null) {
				Incarnation first = owners.putIfAbsent(ownership.epoch(), ownership.incarnation());
				assertThat(first == null || first.equals(ownership.incarnation())).isTrue();
				assertThat(ownership.unsealed()).contains(ownership.incarnation());
				assertThat(builder.state().incarnations()).containsEntry(ownership.incarnation().vm(),
						ownership.incarnation());
			}
		}
	}

	// Guards against a predecessor whose ledger is not sealed by the next claimant.
	@Example
	void claimantsSinceLastCompletedTakeOverStayUnsealed() {
		ControlStateBuilder builder = builderWithTwoIncarnations();
		apply(builder, new ClaimShards(A, Map.of(SHARD, 1L), AT), new TakeOverCompleted(A, Map.of(SHARD, 1L)),
				new Down(A, "vm2", "", AT), new ClaimShards(B, Map.of(SHARD, 2L), AT));
		Ownership ownership = builder.state().shardOwnership(SHARD);
		assertThat(ownership).isEqualTo(new Ownership(2, B, false, AT, List.of(A, B)));
		assertThat(ownership.firstUnsealedEpoch()).isEqualTo(1);
		assertThat(builder.state().incarnations()).doesNotContainKey("vm1");
		apply(builder, new TakeOverCompleted(B, Map.of(SHARD, 1L)));
		assertThat(builder.state().shardOwnership(SHARD).ready()).isFalse();
		apply(builder, new TakeOverCompleted(B, Map.of(SHARD, 2L)));
		assertThat(builder.state().shardOwnership(SHARD).unsealed()).containsExactly(B);
	}

	// Guards against a restarted daemon that is still listed as owner of the shards and
	// engines of its previous incarnation.
	@Example
	void newIncarnationReplacesPreviousOne() {
		ControlStateBuilder builder = builderWithTwoIncarnations();
		apply(builder, new ClaimShards(A, Map.of(SHARD, 1L), AT), new ClaimEngines(A, Map.of("e", 1L), AT),
				new Started(A2, AT), new ClaimShards(A, Map.of(SHARD, 2L), AT));
		assertThat(builder.state().shardOwnership(SHARD).incarnation()).isNull();
		assertThat(builder.state().engineOwnership("e").incarnation()).isNull();
		assertThat(builder.state().engineOwnership("e").epoch()).isEqualTo(1);
	}

	// Guards against content that is still rejected after its quarantine has expired.
	@Example
	void quarantineExpires() {
		ControlStateBuilder builder = builderWithTwoIncarnations();
		apply(builder, new Quarantine("digest", "", AT.plusSeconds(60)));
		assertThat(ControlStateBuilder.activeQuarantine(builder.state(), "digest", AT.plusSeconds(59))).isNotNull();
		assertThat(ControlStateBuilder.activeQuarantine(builder.state(), "digest", AT.plusSeconds(60))).isNull();
	}

	private static ControlStateBuilder builderWithTwoIncarnations() {
		ControlStateBuilder builder = new ControlStateBuilder(ControlState.EMPTY);
		apply(builder, new Started(A, AT), new Started(B, AT));
		return builder;
	}

	private static void apply(ControlStateBuilder builder, ControlRecord... records) {
		for (ControlRecord record : records) {
			builder.apply(builder.state().offset(), AT, record);
		}
	}

}

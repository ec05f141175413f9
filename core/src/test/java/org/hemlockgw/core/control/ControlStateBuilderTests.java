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

	// Guards against two holders of one epoch when claims, releases and reports are
	// repeated and arrive in any order.
	@Property(seed = "21", tries = 1000, shrinking = ShrinkingMode.OFF)
	void oneHolderPerEpoch(@ForAll @IntRange(max = 1_000_000) int seed) {
		Random random = new Random(seed);
		List<Incarnation> all = List.of(A, B, A2);
		ControlStateBuilder fold = new ControlStateBuilder(ControlState.EMPTY);
		Map<Long, Incarnation> holders = new HashMap<>();
		long last = 0;
		for (int i = 0; i < 80; i++) {
			Incarnation by = all.get(random.nextInt(3));
			Map<ShardId, Long> epochs = Map.of(SHARD, Math.max(1, last - 1 + random.nextInt(4)));
			fold.apply(i, AT, switch (random.nextInt(7)) {
				case 0 -> new Started(by, AT);
				case 1 -> new Down(by, "vm9", "", AT);
				case 2 -> new ReleaseShards(by, epochs);
				case 3 -> new TakeOverCompleted(by, epochs);
				default -> new ClaimShards(by, epochs, AT);
			});
			Ownership holder = fold.state().shardOwnership(SHARD);
			assertThat(holder.epoch()).isAnyOf(last, last + 1);
			last = holder.epoch();
			if (holder.incarnation() != null) {
				Incarnation first = holders.putIfAbsent(holder.epoch(), holder.incarnation());
				assertThat(first == null || first.equals(holder.incarnation())).isTrue();
				assertThat(holder.unsealed()).contains(holder.incarnation());
				assertThat(fold.state().incarnations()).containsEntry(holder.incarnation().vm(), holder.incarnation());
			}
		}
	}

	// Guards against a predecessor whose ledger the next claimant does not seal.
	@Example
	void claimantsSinceTheLastCompletionStayUnsealed() {
		ControlStateBuilder fold = started();
		apply(fold, new ClaimShards(A, Map.of(SHARD, 1L), AT), new TakeOverCompleted(A, Map.of(SHARD, 1L)),
				new Down(A, "vm2", "", AT), new ClaimShards(B, Map.of(SHARD, 2L), AT));
		Ownership holder = fold.state().shardOwnership(SHARD);
		assertThat(holder).isEqualTo(new Ownership(2, B, false, AT, List.of(A, B)));
		assertThat(holder.firstUnsealedEpoch()).isEqualTo(1);
		assertThat(fold.state().incarnations()).doesNotContainKey("vm1");
		apply(fold, new TakeOverCompleted(B, Map.of(SHARD, 1L)));
		assertThat(fold.state().shardOwnership(SHARD).ready()).isFalse();
		apply(fold, new TakeOverCompleted(B, Map.of(SHARD, 2L)));
		assertThat(fold.state().shardOwnership(SHARD).unsealed()).containsExactly(B);
	}

	// Guards against a restarted VM that counts as holder of what its earlier process
	// held.
	@Example
	void newIncarnationReplacesTheEarlierOne() {
		ControlStateBuilder fold = started();
		apply(fold, new ClaimShards(A, Map.of(SHARD, 1L), AT), new ClaimEngines(A, Map.of("e", 1L), AT),
				new Started(A2, AT), new ClaimShards(A, Map.of(SHARD, 2L), AT));
		assertThat(fold.state().shardOwnership(SHARD).incarnation()).isNull();
		assertThat(fold.state().engineOwnership("e").incarnation()).isNull();
		assertThat(fold.state().engineOwnership("e").epoch()).isEqualTo(1);
	}

	// Guards against content that stays refused after its quarantine.
	@Example
	void quarantineExpires() {
		ControlStateBuilder fold = started();
		apply(fold, new Quarantine("digest", "", AT.plusSeconds(60)));
		assertThat(ControlStateBuilder.activeQuarantine(fold.state(), "digest", AT.plusSeconds(59))).isNotNull();
		assertThat(ControlStateBuilder.activeQuarantine(fold.state(), "digest", AT.plusSeconds(60))).isNull();
	}

	private static ControlStateBuilder started() {
		ControlStateBuilder fold = new ControlStateBuilder(ControlState.EMPTY);
		apply(fold, new Started(A, AT), new Started(B, AT));
		return fold;
	}

	private static void apply(ControlStateBuilder fold, ControlRecord... records) {
		for (ControlRecord record : records) {
			fold.apply(fold.state().offset(), AT, record);
		}
	}

}

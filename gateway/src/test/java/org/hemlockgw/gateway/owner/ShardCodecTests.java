package org.hemlockgw.gateway.owner;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import io.netty.buffer.ByteBufUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.turn.ProgramBudget;
import org.hemlockgw.core.turn.TurnShard;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ShardCodec}.
 */
class ShardCodecTests {

	// Guards against a damaged record that prevents a shard from being loaded.
	@ParameterizedTest
	@CsvSource({ "t1, 00", "t1, c1", "t1, ffff", "t1, a131", "t1, db7fffffff", "t1, a131a170c0c67fffffff", "p1, 00",
			"p1, a131", "p1, 0000df7fffffff", "p1, cfffffffffffffffff", "p1, 0080", "x, 7b7d" })
	void reportsDamagedRecord(String key, String hex) {
		TurnShard shard = new TurnShard();
		try {
			ShardCodec.decode(new KeyedValue(key, ByteBufUtil.decodeHexDump(hex)), shard);
			throw new AssertionError("damaged record was accepted");
		}
		catch (IOException expected) {
			assertThat(shard.turnCount()).isEqualTo(0);
		}
	}

	// Guards against the chain of an open turn that expires after a restart.
	@ParameterizedTest
	@CsvSource({ "80, t1", "80, ''", "0, t1" })
	void reservationsAreRestored(int tokens, String parent) throws IOException {
		ProgramBudget budget = new ProgramBudget(Instant.ofEpochSecond(60));
		ProgramBudget.Reservation open = new ProgramBudget.Reservation(tokens, parent.isEmpty() ? null : parent);
		budget.reserve("t2", 100, open);
		TurnShard shard = new TurnShard();
		ShardCodec.decode(ShardCodec.encodeBudget("p", budget), shard);
		assertThat(reservations(shard)).containsExactly("t2", open);
	}

	// Guards against budgets of earlier versions that can't be read.
	@Test
	void reservationsWithoutParentAreRead() throws IOException {
		TurnShard shard = new TurnShard();
		ShardCodec.decode(new KeyedValue("pp", ByteBufUtil.decodeHexDump("0005" + "81" + "a27432" + "50")), shard);
		assertThat(reservations(shard)).containsExactly("t2", new ProgramBudget.Reservation(80, null));
	}

	private static Map<String, ProgramBudget.Reservation> reservations(TurnShard shard) {
		ProgramBudget budget = shard.findBudget("p");
		return (budget != null) ? budget.reservations() : Map.of();
	}

	// Guards against an overflow when expiry is checked.
	@Test
	void turnWithLongestRetentionIsKept() throws IOException {
		TurnShard shard = new TurnShard();
		String maxLong = "cf7fffffffffffffff";
		byte[] value = ByteBufUtil.decodeHexDump("a131a170c0c400c400" + maxLong + maxLong);
		ShardCodec.decode(new KeyedValue("t1", value), shard);
		assertThat(shard.expire(Instant.EPOCH.plus(Duration.ofDays(36_500)), Duration.ofSeconds(10)).turns()).isEmpty();
		assertThat(shard.turnCount()).isEqualTo(1);
	}

}

package org.hemlockgw.daemon.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks over all daemons of a simulation that each epoch has one holder and that no
 * acknowledged intent is missing for a successor.
 */
final class OwnershipChecker {

	private final Map<ShardId, Map<Long, Incarnation>> holders = new HashMap<>();

	private final Map<ShardId, Long> lastEpoch = new HashMap<>();

	private final Map<ProgramId, Set<String>> adopted = new HashMap<>();

	private final Map<ProgramId, List<Intent>> acknowledged = new HashMap<>();

	int takeOvers;

	int acknowledgements;

	void adopt(Incarnation by, ShardId shard, long epoch, Map<ProgramId, ProgramRecord> programs) {
		this.takeOvers++;
		Incarnation other = this.holders.computeIfAbsent(shard, (s) -> new HashMap<>()).putIfAbsent(epoch, by);
		assertWithMessage("holder of %s in epoch %s besides %s", shard, epoch, by).that(other).isNull();
		if (epoch < this.lastEpoch.getOrDefault(shard, 0L)) {
			return;
		}
		this.lastEpoch.put(shard, epoch);
		this.acknowledged.forEach((program, intents) -> {
			if (!program.shard().equals(shard)) {
				return;
			}
			Set<String> seen = new HashSet<>();
			ProgramRecord record = programs.get(program);
			if (record != null) {
				record.outcomes().forEach((outcome) -> {
					checkOutcome(program, outcome);
					seen.add(outcome.requestId());
				});
			}
			for (Intent intent : intents) {
				if (intent.epoch < epoch) {
					assertWithMessage("%s of %s in epoch %s", intent, program, epoch).that(seen)
						.contains(intent.request);
				}
			}
			this.adopted.put(program, seen);
		});
	}

	void acknowledge(ProgramId program, String request, long epoch) {
		this.acknowledgements++;
		this.acknowledged.computeIfAbsent(program, (p) -> new ArrayList<>()).add(new Intent(request, epoch));
		if (this.lastEpoch.getOrDefault(program.shard(), 0L) > epoch) {
			assertWithMessage("late %s of %s", request, program)
				.that(Objects.requireNonNullElse(this.adopted.get(program), Set.of()))
				.contains(request);
		}
	}

	private static void checkOutcome(ProgramId program, Outcome outcome) {
		assertWithMessage("verdict of %s of %s", outcome.requestId(), program).that(outcome.verdict())
			.isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	private record Intent(String request, long epoch) {
	}

}

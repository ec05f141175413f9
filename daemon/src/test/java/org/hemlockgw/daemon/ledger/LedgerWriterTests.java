package org.hemlockgw.daemon.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.OfProgram;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.daemon.sim.SimLog;
import org.hemlockgw.daemon.sim.SimProcess;
import org.hemlockgw.daemon.sim.Simulation;
import org.hemlockgw.wire.codec.ProtobufLedgerCodec;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class LedgerWriterTests {

	private static final Incarnation WRITER = new Incarnation("vm1", "writer");

	private static final ProtobufLedgerCodec CODEC = new ProtobufLedgerCodec();

	private final Map<String, CompletableFuture<Void>> intents = new HashMap<>();

	private Simulation simulation = new Simulation();

	private SimProcess process = new SimProcess(this.simulation);

	private SimProcess successor = new SimProcess(this.simulation);

	private SimLog log = new SimLog(this.simulation, 1);

	private LedgerWriter writer = writer(LedgerSettings.DEFAULT);

	// Tries of one property share the instance.
	private void begin(int seed, double faults) {
		this.intents.clear();
		this.simulation = new Simulation();
		this.process = new SimProcess(this.simulation);
		this.successor = new SimProcess(this.simulation);
		this.log = new SimLog(this.simulation, seed);
		this.log.faults = faults;
		this.writer = writer(LedgerSettings.DEFAULT);
	}

	// Guards against acknowledging an intent that the successor does not see, and against
	// refusing one as void that it does see, over lost, late, repeated and crashed
	// appends.
	@Property(seed = "41", tries = 400, shrinking = ShrinkingMode.OFF)
	void successorSeesExactlyWhatTheWriterReported(@ForAll @IntRange(max = 1_000_000) int seed) {
		Random random = new Random(seed);
		begin(seed, random.nextDouble() * 0.5);
		List<ProgramId> programs = List.of(program("a"), program("b"), program("c"));
		programs.forEach((program) -> this.writer.append(List.of(opened(program))));
		int sealAt = 20 + random.nextInt(60);
		int pauseAt = random.nextInt(100);
		int resumeAt = pauseAt + random.nextInt(40);
		Map<ShardId, Long> epochs = Map.of(programs.get(0).shard(), 2L, programs.get(1).shard(), 2L);
		CompletableFuture<Map<ProgramId, ProgramRecord>> folded = new CompletableFuture<>();
		for (int i = 0; i < 120; i++) {
			if (i == pauseAt) {
				this.process.pause();
			}
			if (i == resumeAt) {
				this.process.resume();
			}
			if (i == sealAt) {
				takeOver(epochs, folded);
			}
			if (random.nextInt(12) == 0) {
				this.writer.checkpoint();
			}
			this.simulation.runFor(Duration.ofMillis(random.nextInt(20)));
			intent(programs.get(random.nextInt(3)), "r" + i);
		}
		this.process.resume();
		this.log.faults = 0;
		this.simulation.runFor(Duration.ofSeconds(60));
		Map<ProgramId, ProgramRecord> seen = folded.join();
		this.intents.forEach((key, done) -> {
			assertWithMessage("settled %s", key).that(done.isDone()).isTrue();
			String[] parts = key.split("/");
			ProgramId program = program(parts[0]);
			if (epochs.containsKey(program.shard())) {
				assertWithMessage("%s acknowledged %s", key, !done.isCompletedExceptionally())
					.that(requests(seen, program).contains(parts[1]))
					.isEqualTo(!done.isCompletedExceptionally());
			}
			else {
				assertWithMessage("%s of an unsealed shard", key).that(done.isCompletedExceptionally()).isFalse();
			}
		});
	}

	// Guards against a program owner that is back from a pause and sends a call which its
	// successor has already answered with MAY_HAVE_RUN or never heard of.
	@Property(seed = "42", tries = 100, shrinking = ShrinkingMode.OFF)
	void pausedWriterGetsNoIntentAcknowledgedAfterTheSeal(@ForAll @IntRange(max = 1_000_000) int seed) {
		begin(seed, new Random(seed).nextDouble() * 0.4);
		ProgramId program = program("a");
		CompletableFuture<Void> open = this.writer.append(List.of(opened(program)));
		this.simulation.runUntil(open::isDone, Duration.ofMinutes(1));
		this.process.pause();
		CompletableFuture<Map<ProgramId, ProgramRecord>> folded = new CompletableFuture<>();
		takeOver(Map.of(program.shard(), 2L), folded);
		this.simulation.runUntil(folded::isDone, Duration.ofMinutes(1));
		this.process.resume();
		CompletableFuture<Void> late = this.writer.append(List.of(intentRecord(program, "late")));
		this.simulation.runUntil(late::isDone, Duration.ofMinutes(1));
		assertThat(failure(late).code()).isEqualTo(ErrorCode.NOT_OWNER);
		assertThat(failure(late).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	// Guards against a record that is lost because a checkpoint taken while it was in
	// flight replaced it.
	@Property(seed = "43", tries = 200, shrinking = ShrinkingMode.OFF)
	void readingFromTheCheckpointEqualsReadingTheWholeLedger(@ForAll @IntRange(max = 1_000_000) int seed) {
		Random random = new Random(seed);
		begin(seed, 0.2);
		ProgramId program = program("a");
		this.writer.append(List.of(opened(program)));
		for (int i = 0; i < 100; i++) {
			intent(program, "r" + i);
			if (random.nextInt(10) == 0) {
				this.writer.checkpoint();
			}
			this.simulation.runFor(Duration.ofMillis(random.nextInt(15)));
		}
		this.simulation.runFor(Duration.ofSeconds(30));
		List<LedgerBatch> batches = this.log.records(WRITER.ledgerStream())
			.stream()
			.map((record) -> CODEC.decode(record.data()))
			.toList();
		long from = batches.stream().mapToLong(LedgerBatch::checkpointOffset).max().orElse(0);
		assertThat(requests(fold(batches.subList((int) from, batches.size())), program))
			.isEqualTo(requests(fold(batches), program));
		assertThat(requests(fold(batches), program)).hasSize(100);
	}

	// Guards against memory that grows without bound in a log outage, and against an
	// outage that is seen late.
	@Example
	void outageIsDetectedAfterTwoSecondsAndTheBufferIsBounded() {
		this.writer = writer(LedgerSettings.DEFAULT.withBufferBytes(1000));
		this.log.outage = true;
		ProgramId program = program("a");
		List<CompletableFuture<Void>> results = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			results.add(this.writer.append(List.of(intentRecord(program, "r" + i))));
		}
		this.simulation.runFor(Duration.ofMillis(1900));
		assertThat(this.writer.isLogUnavailable()).isFalse();
		this.simulation.runFor(Duration.ofMillis(200));
		assertThat(this.writer.isLogUnavailable()).isTrue();
		assertThat(this.writer.bufferFillRatio()).isEqualTo(1.0);
		assertThat(results.stream().filter(CompletableFuture::isCompletedExceptionally).count()).isEqualTo(3);
		this.log.outage = false;
		this.simulation.runFor(Duration.ofSeconds(5));
		assertThat(this.writer.isLogUnavailable()).isFalse();
		assertThat(this.writer.bufferFillRatio()).isEqualTo(0.0);
		assertThat(results.get(4).isDone() && !results.get(4).isCompletedExceptionally()).isTrue();
	}

	// Guards against one append for each record, which the log's append rate can not
	// take.
	@Example
	void firstAppendIsSentAtOnceAndLaterRecordsShareBatches() {
		ProgramId program = program("a");
		this.writer.append(List.of(opened(program)));
		this.simulation.runFor(Duration.ofMillis(4));
		assertThat(this.log.records(WRITER.ledgerStream())).hasSize(1);
		for (int i = 0; i < 1000; i++) {
			intent(program, "r" + i);
			this.simulation.runFor(Duration.ofNanos(100_000));
		}
		this.simulation.runFor(Duration.ofSeconds(1));
		assertThat(this.log.records(WRITER.ledgerStream()).size()).isAtMost(22);
		assertThat(this.intents.values().stream().allMatch(CompletableFuture::isDone)).isTrue();
	}

	private LedgerWriter writer(LedgerSettings settings) {
		return new LedgerWriter(this.log.client(this.process), CODEC, WRITER, settings, this.process, this.simulation);
	}

	private void takeOver(Map<ShardId, Long> epochs, CompletableFuture<Map<ProgramId, ProgramRecord>> folded) {
		LedgerReader reader = new LedgerReader(this.log.client(this.successor), CODEC, LedgerSettings.DEFAULT,
				this.successor);
		LedgerState fold = LedgerState.ofShards(Map.of(program("a").shard(), 0L, program("b").shard(), 0L));
		reader.seal(WRITER, epochs, new Incarnation("vm2", "successor"))
			.thenCompose((end) -> reader.read(WRITER, end, fold))
			.thenRun(() -> folded.complete(fold.settleForTakeOver()));
	}

	private void intent(ProgramId program, String request) {
		this.intents.put(program.name() + "/" + request, this.writer.append(List.of(intentRecord(program, request))));
	}

	private static Map<ProgramId, ProgramRecord> fold(List<LedgerBatch> batches) {
		LedgerState fold = LedgerState.ofAllShards();
		fold.startLedger(WRITER.id());
		batches.forEach(fold::apply);
		return fold.programs();
	}

	private static Set<String> requests(Map<ProgramId, ProgramRecord> programs, ProgramId program) {
		Set<String> requests = new HashSet<>();
		ProgramRecord record = programs.get(program);
		if (record != null) {
			record.outcomes().stream().map(Outcome::requestId).forEach(requests::add);
		}
		return requests;
	}

	private static CallFailure failure(CompletableFuture<Void> future) {
		return future.handle((done, thrown) -> CallFailure.of(thrown)).join();
	}

	private static ProgramId program(String name) {
		return new ProgramId("account", name);
	}

	private OfProgram opened(ProgramId program) {
		return new Opened(program, 1000, 100, 9, this.simulation.instant(), this.simulation.instant());
	}

	private OfProgram intentRecord(ProgramId program, String request) {
		return new Intent(program, request, "digest", 0, "service", this.simulation.instant());
	}

}

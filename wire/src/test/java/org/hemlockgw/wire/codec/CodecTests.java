package org.hemlockgw.wire.codec;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.CallEnded;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.Usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class CodecTests {

	private static final Instant AT = Instant.parse("2026-01-01T00:00:00.123456789Z");

	private static final ProgramId ID = new ProgramId("account", "root.1");

	private static final Incarnation BY = new Incarnation("vm1", "i1");

	private static final byte[] NO_BODY = {};

	// Guards against a field that is lost on its way through the log.
	@Example
	void everyLedgerRecordIsReadBackAsWritten() {
		ProtobufLedgerCodec codec = new ProtobufLedgerCodec();
		LedgerRecord.Dispatched attempt = new LedgerRecord.Dispatched(ID, "r", "attempt", "engine", 7);
		Outcome open = new Outcome("r", "d", 3, null, List.of(attempt), 0, Usage.NONE, "", 0, NO_BODY, "m");
		ProgramRecord state = new ProgramRecord(9, 8, 7, 6, AT, AT.plusSeconds(1), AT.plusSeconds(2),
				ProgramState.EXPIRED, List.of(new Message("user", "text")), 5, 4, 3, null, List.of(open));
		List<LedgerRecord> records = List.of(new LedgerRecord.Opened(ID, 1, 2, 3, AT, AT),
				new LedgerRecord.Granted(ID, 4), new LedgerRecord.Intent(ID, "r", "d", 5, "target", AT), attempt,
				new LedgerRecord.TurnCompleted(ID, "r", 1, List.of(new Message("user", "q")),
						new Message("assistant", "a"), new Usage(1, 2, 3), "stop", "engine", "digest", AT),
				new LedgerRecord.Charged(ID, "r", 6), new LedgerRecord.Ended(ID, ProgramState.ENDED, AT),
				new LedgerRecord.Seal(Set.of(new ShardId(0), new ShardId(4095)), 8, "i2"),
				new LedgerRecord.EpochOpened(Set.of(new ShardId(1)), 9, true));
		LedgerBatch batch = new LedgerBatch("i1", 10, 11, records);
		assertThat(codec.decode(codec.encode(batch))).isEqualTo(batch);
		LedgerRecord checkpoint = new LedgerRecord.Checkpoint(ID, state);
		// Records with a byte array have no equality, so their text is compared.
		assertThat(textWithoutBody(roundTrip(codec, checkpoint))).isEqualTo(textWithoutBody(checkpoint));
		byte[] body = "body".getBytes(StandardCharsets.UTF_8);
		CallEnded ended = new CallEnded(ID, "r", "d", 1, Verdict.MAY_HAVE_RUN, 502, body, "m", AT);
		CallEnded read = (CallEnded) roundTrip(codec, ended);
		assertThat(read.body()).isEqualTo(body);
		assertThat(textWithoutBody(read)).isEqualTo(textWithoutBody(ended));
	}

	// Guards against a control record that daemons read differently from its writer.
	@Example
	void everyControlRecordIsReadBackAsWritten() {
		ProtobufControlCodec codec = new ProtobufControlCodec();
		Map<ShardId, Long> epochs = Map.of(new ShardId(1), 2L, new ShardId(4095), 3L);
		List<ControlRecord> records = List.of(new ControlRecord.Started(BY, AT),
				new ControlRecord.ClaimShards(BY, epochs, AT), new ControlRecord.TakeOverCompleted(BY, epochs),
				new ControlRecord.ReleaseShards(BY, epochs), new ControlRecord.ClaimEngines(BY, Map.of("e", 4L), AT),
				new ControlRecord.ReleaseEngines(BY, Set.of("e")), new ControlRecord.Down(BY, "vm2", "reason", AT),
				new ControlRecord.Quarantine("digest", "reason", AT));
		for (ControlRecord record : records) {
			assertWithMessage("%s", record).that(codec.decode(codec.encode(record))).isEqualTo(record);
		}
	}

	// Guards against a daemon that stops reading at a record it can not decode.
	@Example
	void foreignBytesAreRefused() {
		byte[] bytes = { 1, 2, 3, 4 };
		assertRefused(() -> new ProtobufLedgerCodec().decode(bytes));
		assertRefused(() -> new ProtobufControlCodec().decode(bytes));
		assertRefused(() -> new ProtobufControlCodec().decode(NO_BODY));
	}

	private static void assertRefused(Runnable decode) {
		boolean refused = false;
		try {
			decode.run();
		}
		catch (IllegalArgumentException ex) {
			refused = true;
		}
		assertThat(refused).isTrue();
	}

	private static LedgerRecord roundTrip(ProtobufLedgerCodec codec, LedgerRecord record) {
		return codec.decode(codec.encode(new LedgerBatch("i1", 0, 0, List.of(record)))).records().get(0);
	}

	private static String textWithoutBody(LedgerRecord record) {
		return record.toString().replaceAll("\\[B@[0-9a-f]+", "");
	}

}

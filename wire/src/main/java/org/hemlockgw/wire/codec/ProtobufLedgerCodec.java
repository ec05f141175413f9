package org.hemlockgw.wire.codec;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerCodec;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.CallEnded;
import org.hemlockgw.core.ledger.LedgerRecord.Charged;
import org.hemlockgw.core.ledger.LedgerRecord.Checkpoint;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Ended;
import org.hemlockgw.core.ledger.LedgerRecord.EpochOpened;
import org.hemlockgw.core.ledger.LedgerRecord.Granted;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.OfProgram;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerRecord.Seal;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.generated.ledger.BatchProto;
import org.hemlockgw.generated.ledger.CallEndedProto;
import org.hemlockgw.generated.ledger.ChargedProto;
import org.hemlockgw.generated.ledger.EndedProto;
import org.hemlockgw.generated.ledger.EpochOpenedProto;
import org.hemlockgw.generated.ledger.GrantedProto;
import org.hemlockgw.generated.ledger.IntentProto;
import org.hemlockgw.generated.ledger.OpenedProto;
import org.hemlockgw.generated.ledger.RecordProto;
import org.hemlockgw.generated.ledger.SealProto;
import org.hemlockgw.generated.ledger.TurnCompletedProto;

/**
 * Ledger batches as protobuf messages. Thread-safe.
 */
public final class ProtobufLedgerCodec implements LedgerCodec {

	@Override
	public byte[] encode(LedgerBatch batch) {
		BatchProto.Builder out = BatchProto.newBuilder()
			.setWriter(batch.writer())
			.setSequence(batch.sequence())
			.setCheckpointOffset(batch.checkpointOffset());
		batch.records().forEach((record) -> out.addRecords(encode(record)));
		return out.build().toByteArray();
	}

	@Override
	public LedgerBatch decode(byte[] data) {
		try {
			BatchProto in = BatchProto.parseFrom(data);
			return new LedgerBatch(in.getWriter(), in.getSequence(), in.getCheckpointOffset(),
					in.getRecordsList().stream().map(ProtobufLedgerCodec::decode).toList());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("not a ledger batch: " + ex.getMessage(), ex);
		}
	}

	private static RecordProto encode(LedgerRecord record) {
		RecordProto.Builder out = RecordProto.newBuilder();
		if (record instanceof OfProgram ofProgram) {
			out.setProgram(Values.program(ofProgram.program()));
		}
		if (record instanceof Opened r) {
			out.setOpened(OpenedProto.newBuilder()
				.setBudget(r.budget())
				.setGranted(r.granted())
				.setMaxTurns(r.maxTurns())
				.setExpiresAt(Values.time(r.expiresAt()))
				.setAt(Values.time(r.at())));
		}
		else if (record instanceof Granted r) {
			out.setGranted(GrantedProto.newBuilder().setGranted(r.granted()));
		}
		else if (record instanceof Intent r) {
			out.setIntent(IntentProto.newBuilder()
				.setRequestId(r.requestId())
				.setDigest(r.digest())
				.setStep(r.step())
				.setTarget(r.target())
				.setAt(Values.time(r.at())));
		}
		else if (record instanceof Dispatched r) {
			out.setDispatched(ProgramStates.encode(r));
		}
		else if (record instanceof TurnCompleted r) {
			out.setTurnCompleted(turn(r));
		}
		else if (record instanceof CallEnded r) {
			out.setCallEnded(callEnded(r));
		}
		else if (record instanceof Charged r) {
			out.setCharged(ChargedProto.newBuilder().setRequestId(r.requestId()).setTokens(r.tokens()));
		}
		else if (record instanceof Ended r) {
			out.setEnded(EndedProto.newBuilder().setState(Values.state(r.state())).setAt(Values.time(r.at())));
		}
		else if (record instanceof Checkpoint r) {
			out.setCheckpoint(ProgramStates.encode(r.state()));
		}
		else if (record instanceof Seal r) {
			SealProto.Builder seal = SealProto.newBuilder().setEpoch(r.epoch()).setBy(r.by());
			r.shards().stream().sorted().forEach((shard) -> seal.addShards(shard.value()));
			out.setSeal(seal);
		}
		else if (record instanceof EpochOpened r) {
			EpochOpenedProto.Builder opened = EpochOpenedProto.newBuilder()
				.setEpoch(r.epoch())
				.setStateFollows(r.stateFollows());
			r.shards().stream().sorted().forEach((shard) -> opened.addShards(shard.value()));
			out.setEpochOpened(opened);
		}
		return out.build();
	}

	private static TurnCompletedProto.Builder turn(TurnCompleted r) {
		return TurnCompletedProto.newBuilder()
			.setRequestId(r.requestId())
			.setStep(r.step())
			.addAllNewMessages(r.newMessages().stream().map(Values::message).toList())
			.setAnswer(Values.message(r.answer()))
			.setUsage(Values.usage(r.usage()))
			.setFinishReason(r.finishReason())
			.setEngine(r.engine())
			.setDigest(r.digest())
			.setAt(Values.time(r.at()));
	}

	private static CallEndedProto.Builder callEnded(CallEnded r) {
		return CallEndedProto.newBuilder()
			.setRequestId(r.requestId())
			.setDigest(r.digest())
			.setStep(r.step())
			.setVerdict(Values.verdict(r.verdict()))
			.setStatus(r.status())
			.setBody(ByteString.copyFrom(r.body()))
			.setMessage(r.message())
			.setAt(Values.time(r.at()));
	}

	private static LedgerRecord decode(RecordProto in) {
		if (in.getKindCase() == RecordProto.KindCase.SEAL) {
			SealProto seal = in.getSeal();
			return new Seal(shards(seal.getShardsList()), seal.getEpoch(), seal.getBy());
		}
		if (in.getKindCase() == RecordProto.KindCase.EPOCH_OPENED) {
			EpochOpenedProto opened = in.getEpochOpened();
			return new EpochOpened(shards(opened.getShardsList()), opened.getEpoch(), opened.getStateFollows());
		}
		ProgramId id = Values.program(in.getProgram());
		return switch (in.getKindCase()) {
			case OPENED -> {
				OpenedProto r = in.getOpened();
				yield new Opened(id, r.getBudget(), r.getGranted(), r.getMaxTurns(), Values.time(r.getExpiresAt()),
						Values.time(r.getAt()));
			}
			case GRANTED -> new Granted(id, in.getGranted().getGranted());
			case INTENT -> {
				IntentProto r = in.getIntent();
				yield new Intent(id, r.getRequestId(), r.getDigest(), r.getStep(), r.getTarget(),
						Values.time(r.getAt()));
			}
			case DISPATCHED -> ProgramStates.decode(id, in.getDispatched());
			case TURN_COMPLETED -> turn(id, in.getTurnCompleted());
			case CALL_ENDED -> callEnded(id, in.getCallEnded());
			case CHARGED -> new Charged(id, in.getCharged().getRequestId(), in.getCharged().getTokens());
			case ENDED -> new Ended(id, Values.state(in.getEnded().getState()), Values.time(in.getEnded().getAt()));
			case CHECKPOINT -> new Checkpoint(id, ProgramStates.decode(id, in.getCheckpoint()));
			case SEAL, EPOCH_OPENED, KIND_NOT_SET ->
				throw new IllegalArgumentException("ledger record of unknown kind");
		};
	}

	private static Set<ShardId> shards(List<Integer> values) {
		return values.stream().map(ShardId::new).collect(Collectors.toUnmodifiableSet());
	}

	private static TurnCompleted turn(ProgramId id, TurnCompletedProto r) {
		return new TurnCompleted(id, r.getRequestId(), r.getStep(),
				r.getNewMessagesList().stream().map(Values::message).toList(), Values.message(r.getAnswer()),
				Values.usage(r.getUsage()), r.getFinishReason(), r.getEngine(), r.getDigest(), Values.time(r.getAt()));
	}

	private static Verdict verdict(CallEndedProto r) {
		Verdict verdict = Values.verdict(r.getVerdict());
		if (verdict == null) {
			throw new IllegalArgumentException("ended call without a verdict");
		}
		return verdict;
	}

	private static CallEnded callEnded(ProgramId id, CallEndedProto r) {
		return new CallEnded(id, r.getRequestId(), r.getDigest(), r.getStep(), verdict(r), r.getStatus(),
				r.getBody().toByteArray(), r.getMessage(), Values.time(r.getAt()));
	}

}

package org.hemlockgw.wire.codec;

import com.google.protobuf.ByteString;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.generated.ledger.DispatchedProto;
import org.hemlockgw.generated.ledger.OutcomeProto;
import org.hemlockgw.generated.ledger.ProgramStateProto;

/**
 * Conversion of whole program states.
 */
final class ProgramStates {

	private ProgramStates() {
	}

	static ProgramStateProto encode(ProgramRecord state) {
		ProgramStateProto.Builder out = ProgramStateProto.newBuilder()
			.setBudget(state.budget())
			.setGranted(state.granted())
			.setSettled(state.settled())
			.setMaxTurns(state.maxTurns())
			.setOpenedAt(Values.time(state.openedAt()))
			.setExpiresAt(Values.time(state.expiresAt()))
			.setLastActivity(Values.time(state.lastActivity()))
			.setState(Values.state(state.state()))
			.setHistoryTokens(state.historyTokens())
			.setTurns(state.turns())
			.setLastStep(state.lastStep());
		if (state.engine() != null) {
			out.setEngine(state.engine());
		}
		state.messages().forEach((message) -> out.addMessages(Values.message(message)));
		state.outcomes().forEach((outcome) -> out.addOutcomes(encode(outcome)));
		return out.build();
	}

	static ProgramRecord decode(ProgramId program, ProgramStateProto in) {
		return new ProgramRecord(in.getBudget(), in.getGranted(), in.getSettled(), in.getMaxTurns(),
				Values.time(in.getOpenedAt()), Values.time(in.getExpiresAt()), Values.time(in.getLastActivity()),
				Values.state(in.getState()), in.getMessagesList().stream().map(Values::message).toList(),
				in.getHistoryTokens(), in.getTurns(), in.getLastStep(), in.hasEngine() ? in.getEngine() : null,
				in.getOutcomesList().stream().map((outcome) -> decode(program, outcome)).toList());
	}

	static DispatchedProto encode(Dispatched dispatched) {
		return DispatchedProto.newBuilder()
			.setRequestId(dispatched.requestId())
			.setAttemptId(dispatched.attemptId())
			.setEngine(dispatched.engine())
			.setFirstOffset(dispatched.firstOffset())
			.build();
	}

	static Dispatched decode(ProgramId program, DispatchedProto in) {
		return new Dispatched(program, in.getRequestId(), in.getAttemptId(), in.getEngine(), in.getFirstOffset());
	}

	private static OutcomeProto encode(Outcome outcome) {
		OutcomeProto.Builder out = OutcomeProto.newBuilder()
			.setRequestId(outcome.requestId())
			.setDigest(outcome.digest())
			.setStep(outcome.step())
			.setVerdict(Values.verdict(outcome.verdict()))
			.setTurn(outcome.turn())
			.setUsage(Values.usage(outcome.usage()))
			.setFinishReason(outcome.finishReason())
			.setStatus(outcome.status())
			.setBody(ByteString.copyFrom(outcome.body()))
			.setMessage(outcome.message());
		outcome.open().forEach((attempt) -> out.addOpen(encode(attempt)));
		return out.build();
	}

	private static Outcome decode(ProgramId program, OutcomeProto in) {
		return new Outcome(in.getRequestId(), in.getDigest(), in.getStep(), Values.verdict(in.getVerdict()),
				in.getOpenList().stream().map((attempt) -> decode(program, attempt)).toList(), in.getTurn(),
				Values.usage(in.getUsage()), in.getFinishReason(), in.getStatus(), in.getBody().toByteArray(),
				in.getMessage());
	}

}

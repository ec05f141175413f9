package org.hemlockgw.wire.codec;

import java.time.Instant;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.generated.ledger.IncarnationProto;
import org.hemlockgw.generated.ledger.LifeCycleProto;
import org.hemlockgw.generated.ledger.MessageProto;
import org.hemlockgw.generated.ledger.ProgramIdProto;
import org.hemlockgw.generated.ledger.UsageProto;
import org.hemlockgw.generated.ledger.VerdictProto;

/**
 * Conversion of values that several records share.
 */
final class Values {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private Values() {
	}

	// Times beyond the years 1677 to 2262 do not fit and are clamped.
	static long time(Instant time) {
		try {
			return Math.addExact(Math.multiplyExact(time.getEpochSecond(), NANOS_PER_SECOND), time.getNano());
		}
		catch (ArithmeticException ex) {
			return (time.getEpochSecond() > 0) ? Long.MAX_VALUE : Long.MIN_VALUE;
		}
	}

	static Instant time(long nanos) {
		return Instant.ofEpochSecond(Math.floorDiv(nanos, NANOS_PER_SECOND), Math.floorMod(nanos, NANOS_PER_SECOND));
	}

	static ProgramIdProto program(ProgramId id) {
		return ProgramIdProto.newBuilder().setAccount(id.account()).setName(id.name()).build();
	}

	static ProgramId program(ProgramIdProto id) {
		return new ProgramId(id.getAccount(), id.getName());
	}

	static MessageProto message(Message message) {
		return MessageProto.newBuilder().setRole(message.role()).setContent(message.content()).build();
	}

	static Message message(MessageProto message) {
		return new Message(message.getRole(), message.getContent());
	}

	static UsageProto usage(Usage usage) {
		return UsageProto.newBuilder()
			.setPromptTokens(usage.promptTokens())
			.setCachedTokens(usage.cachedTokens())
			.setCompletionTokens(usage.completionTokens())
			.build();
	}

	static Usage usage(UsageProto usage) {
		return new Usage(usage.getPromptTokens(), usage.getCachedTokens(), usage.getCompletionTokens());
	}

	static VerdictProto verdict(@Nullable Verdict verdict) {
		if (verdict == null) {
			return VerdictProto.VERDICT_OPEN;
		}
		return switch (verdict) {
			case NOT_RUN -> VerdictProto.VERDICT_NOT_RUN;
			case MAY_HAVE_RUN -> VerdictProto.VERDICT_MAY_HAVE_RUN;
			case RAN -> VerdictProto.VERDICT_RAN;
		};
	}

	static @Nullable Verdict verdict(VerdictProto verdict) {
		return switch (verdict) {
			case VERDICT_OPEN -> null;
			case VERDICT_NOT_RUN -> Verdict.NOT_RUN;
			case VERDICT_MAY_HAVE_RUN -> Verdict.MAY_HAVE_RUN;
			case VERDICT_RAN -> Verdict.RAN;
			case UNRECOGNIZED -> throw new IllegalArgumentException("unknown verdict");
		};
	}

	static LifeCycleProto state(ProgramState state) {
		return switch (state) {
			case RUNNING -> LifeCycleProto.LIFE_CYCLE_RUNNING;
			case ENDED -> LifeCycleProto.LIFE_CYCLE_ENDED;
			case EXPIRED -> LifeCycleProto.LIFE_CYCLE_EXPIRED;
		};
	}

	static ProgramState state(LifeCycleProto state) {
		return switch (state) {
			case LIFE_CYCLE_RUNNING -> ProgramState.RUNNING;
			case LIFE_CYCLE_ENDED -> ProgramState.ENDED;
			case LIFE_CYCLE_EXPIRED -> ProgramState.EXPIRED;
			case LIFE_CYCLE_UNKNOWN, UNRECOGNIZED -> throw new IllegalArgumentException("unknown program state");
		};
	}

	static IncarnationProto incarnation(Incarnation incarnation) {
		return IncarnationProto.newBuilder().setVm(incarnation.vm()).setId(incarnation.id()).build();
	}

	static Incarnation incarnation(IncarnationProto incarnation) {
		return new Incarnation(incarnation.getVm(), incarnation.getId());
	}

}

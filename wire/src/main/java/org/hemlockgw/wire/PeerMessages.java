package org.hemlockgw.wire;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.generated.peer.CallAnswer;
import org.hemlockgw.generated.peer.CallMessage;
import org.hemlockgw.generated.peer.ChatMessage;
import org.hemlockgw.generated.peer.DispatchAnswer;
import org.hemlockgw.generated.peer.DispatchMessage;
import org.hemlockgw.generated.peer.Event;
import org.hemlockgw.generated.peer.Failure;
import org.hemlockgw.generated.peer.Load;
import org.hemlockgw.generated.peer.OpenProgramRequest;
import org.hemlockgw.generated.peer.ProgramInfo;
import org.hemlockgw.generated.peer.ProgramName;
import org.hemlockgw.generated.peer.TokenUsage;

/**
 * Converts the types of {@code core} to protobuf messages and back.
 */
final class PeerMessages {

	private PeerMessages() {
	}

	static ProgramName name(ProgramId id) {
		return ProgramName.newBuilder().setAccount(id.account()).setName(id.name()).build();
	}

	static ProgramId id(ProgramName name) {
		return new ProgramId(name.getAccount(), name.getName());
	}

	static OpenProgramRequest open(OpenProgram command) {
		return OpenProgramRequest.newBuilder()
			.setId(name(command.id()))
			.setBudgetTokens(command.budgetTokens())
			.setMaxTurns(command.maxTurns())
			.setMaxWallTimeMs(command.maxWallTime().toMillis())
			.build();
	}

	static OpenProgram open(OpenProgramRequest message) {
		return new OpenProgram(id(message.getId()), message.getBudgetTokens(), message.getMaxTurns(),
				Duration.ofMillis(message.getMaxWallTimeMs()));
	}

	static ProgramInfo view(ProgramView view) {
		return ProgramInfo.newBuilder()
			.setId(name(view.id()))
			.setState(view.state().name())
			.setBudgetTokens(view.budgetTokens())
			.setSpentTokens(view.spentTokens())
			.setReservedTokens(view.reservedTokens())
			.setTurns(view.turns())
			.setNextStep(view.nextStep())
			.build();
	}

	static ProgramView view(ProgramInfo message) {
		return new ProgramView(id(message.getId()), ProgramState.valueOf(message.getState()), message.getBudgetTokens(),
				message.getSpentTokens(), message.getReservedTokens(), message.getTurns(), message.getNextStep());
	}

	static CallMessage call(CallRequest request) {
		return CallMessage.newBuilder()
			.setProgram(name(request.program()))
			.setRequestId(request.requestId())
			.setStep(request.step())
			.setService(request.kind() == CallKind.SERVICE)
			.setTarget(request.target())
			.setIdempotent(request.idempotent())
			.setAppend(request.append())
			.addAllMessages(chat(request.messages()))
			.setMaxTokens(request.maxTokens())
			.setPath(request.path())
			.setBody(ByteString.copyFrom(request.body()))
			.setDeadlineEpochMs(request.deadline().toEpochMilli())
			.setTraceparent(request.traceparent())
			.build();
	}

	static CallRequest call(CallMessage message) {
		CallKind kind = message.getService() ? CallKind.SERVICE : CallKind.MODEL;
		return new CallRequest(id(message.getProgram()), message.getRequestId(), message.getStep(), kind,
				message.getTarget(), message.getIdempotent(), message.getAppend(), messages(message.getMessagesList()),
				message.getMaxTokens(), message.getPath(), message.getBody().toByteArray(),
				Instant.ofEpochMilli(message.getDeadlineEpochMs()), message.getTraceparent());
	}

	static CallAnswer result(CallResult result) {
		return CallAnswer.newBuilder()
			.setText(result.text())
			.setUsage(usage(result.usage()))
			.setFinishReason(result.finishReason())
			.setStatus(result.status())
			.setBody(ByteString.copyFrom(result.body()))
			.setTurn(result.turn())
			.setDurable(result.durable())
			.build();
	}

	static CallResult result(CallAnswer message) {
		return new CallResult(message.getText(), usage(message.getUsage()), message.getFinishReason(),
				message.getStatus(), message.getBody().toByteArray(), message.getTurn(), message.getDurable());
	}

	static DispatchMessage dispatch(DispatchRequest request) {
		return DispatchMessage.newBuilder()
			.setProgram(name(request.program()))
			.setAttemptId(request.attemptId())
			.setEngine(request.engine())
			.setModel(request.model())
			.addAllMessages(chat(request.messages()))
			.setPartialAnswer(request.partialAnswer())
			.setFirstOffset(request.firstOffset())
			.setMaxTokens(request.maxTokens())
			.setAttainedTokens(request.attainedTokens())
			.setEstimatedPromptTokens(request.estimatedPromptTokens())
			.setEstimatedCachedTokens(request.estimatedCachedTokens())
			.setSuspect(request.suspect())
			.setDeadlineEpochMs(request.deadline().toEpochMilli())
			.setTraceparent(request.traceparent())
			.build();
	}

	static DispatchRequest dispatch(DispatchMessage message) {
		return new DispatchRequest(id(message.getProgram()), message.getAttemptId(), message.getEngine(),
				message.getModel(), messages(message.getMessagesList()), message.getPartialAnswer(),
				message.getFirstOffset(), message.getMaxTokens(), message.getAttainedTokens(),
				message.getEstimatedPromptTokens(), message.getEstimatedCachedTokens(), message.getSuspect(),
				Instant.ofEpochMilli(message.getDeadlineEpochMs()), message.getTraceparent());
	}

	static DispatchAnswer result(DispatchResult result) {
		return DispatchAnswer.newBuilder()
			.setText(result.text())
			.setUsage(usage(result.usage()))
			.setFinishReason(result.finishReason())
			.setLoad(load(result.load()))
			.build();
	}

	static DispatchResult result(DispatchAnswer message) {
		return new DispatchResult(message.getText(), usage(message.getUsage()), message.getFinishReason(),
				load(message.getLoad()));
	}

	static Event event(CallEvent event) {
		return Event.newBuilder().setOffset(event.offset()).setTokens(event.tokens()).setText(event.text()).build();
	}

	static CallEvent event(Event message) {
		return new CallEvent(message.getOffset(), message.getTokens(), message.getText());
	}

	static Failure failure(CallFailure failure) {
		Failure.Builder builder = Failure.newBuilder()
			.setCode(failure.code().name())
			.setVerdict(failure.verdict().name())
			.setMessage(Objects.requireNonNullElse(failure.getMessage(), ""));
		Duration retryAfter = failure.retryAfter();
		if (retryAfter != null) {
			builder.setRetryAfterMs(retryAfter.toMillis());
		}
		return builder.build();
	}

	static CallFailure failure(Failure message) {
		Duration retryAfter = message.hasRetryAfterMs() ? Duration.ofMillis(message.getRetryAfterMs()) : null;
		ErrorCode code = parse(ErrorCode.class, message.getCode(), ErrorCode.INTERNAL);
		Verdict verdict = parse(Verdict.class, message.getVerdict(), Verdict.MAY_HAVE_RUN);
		return new CallFailure(code, verdict, message.getMessage(), retryAfter);
	}

	private static <E extends Enum<E>> E parse(Class<E> type, @Nullable String name, E otherwise) {
		try {
			return Enum.valueOf(type, (name != null) ? name : "");
		}
		catch (IllegalArgumentException ex) {
			return otherwise;
		}
	}

	private static List<ChatMessage> chat(List<Message> messages) {
		List<ChatMessage> chat = new ArrayList<>(messages.size());
		for (Message message : messages) {
			chat.add(ChatMessage.newBuilder().setRole(message.role()).setContent(message.content()).build());
		}
		return chat;
	}

	private static List<Message> messages(List<ChatMessage> chat) {
		List<Message> messages = new ArrayList<>(chat.size());
		for (ChatMessage message : chat) {
			messages.add(new Message(message.getRole(), message.getContent()));
		}
		return List.copyOf(messages);
	}

	private static TokenUsage usage(Usage usage) {
		return TokenUsage.newBuilder()
			.setPromptTokens(usage.promptTokens())
			.setCachedTokens(usage.cachedTokens())
			.setCompletionTokens(usage.completionTokens())
			.build();
	}

	private static Usage usage(TokenUsage message) {
		return new Usage(message.getPromptTokens(), message.getCachedTokens(), message.getCompletionTokens());
	}

	private static Load load(EngineLoad load) {
		return Load.newBuilder()
			.setEngine(load.engine())
			.setQueued(load.queued())
			.setInFlight(load.inFlight())
			.setInFlightLimit(load.inFlightLimit())
			.setQueuedTokens(load.queuedTokens())
			.setPrefillTokensPerSecond(load.prefillTokensPerSecond())
			.setDecodeTokensPerSecond(load.decodeTokensPerSecond())
			.setAtEpochMs(load.observedAt().toEpochMilli())
			.build();
	}

	private static EngineLoad load(Load message) {
		return new EngineLoad(message.getEngine(), message.getQueued(), message.getInFlight(),
				message.getInFlightLimit(), message.getQueuedTokens(), message.getPrefillTokensPerSecond(),
				message.getDecodeTokensPerSecond(), Instant.ofEpochMilli(message.getAtEpochMs()));
	}

}

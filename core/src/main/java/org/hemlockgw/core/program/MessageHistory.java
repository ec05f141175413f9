package org.hemlockgw.core.program;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Message history of a program.
 *
 * @param messages all messages, answers included
 * @param tokens tokens of the messages by the last usage
 * @param turns finished model turns
 * @param answers index of each turn's answer in {@code messages}, by turn from 1; turns
 * whose answer cannot be told from a message of the caller are missing
 * @param complete whether no turn can be missing; false after a take-over, because turns
 * answered during a log outage may have been lost with the previous owner
 */
public record MessageHistory(List<Message> messages, long tokens, int turns, Map<Integer, Integer> answers,
		boolean complete) {

	/** Role of an answer. */
	public static final String ASSISTANT = "assistant";

	/** History of a new program. */
	public static final MessageHistory EMPTY = new MessageHistory(List.of(), 0, 0, Map.of(), true);

	/** Covers the tokens that a chat template adds to each message. */
	private static final long TEMPLATE_TOKENS_PER_MESSAGE = 8;

	public MessageHistory {
		messages = List.copyOf(messages);
		answers = Map.copyOf(answers);
	}

	/**
	 * Restores a history from the ledger.
	 * @param messages all messages
	 * @param tokens tokens by the last usage
	 * @param turns finished model turns
	 * @return the history, which may lack turns
	 */
	public static MessageHistory restore(List<Message> messages, long tokens, int turns) {
		List<Integer> assistant = new ArrayList<>();
		for (int i = 0; i < messages.size(); i++) {
			if (messages.get(i).role().equals(ASSISTANT)) {
				assistant.add(i);
			}
		}
		Map<Integer, Integer> answers = new HashMap<>();
		if (assistant.size() == turns) {
			for (int turn = 1; turn <= turns; turn++) {
				answers.put(turn, assistant.get(turn - 1));
			}
		}
		else if (turns > 0 && !assistant.isEmpty()) {
			// The caller sent assistant messages of its own; only the last answer is
			// sure.
			answers.put(turns, assistant.get(assistant.size() - 1));
		}
		return new MessageHistory(messages, tokens, turns, answers, messages.isEmpty() && turns == 0);
	}

	/**
	 * Checks the messages of a model turn against this history.
	 * @param request the model turn
	 * @param provenComplete whether the request's step shows that no turn is missing
	 * @return the new messages
	 * @throws CallFailure if the messages do not extend this history, or if turns may be
	 * missing and the request holds only new messages
	 */
	public List<Message> newMessages(CallRequest request, boolean provenComplete) {
		List<Message> sent = request.messages();
		if (request.append()) {
			if (!this.complete && !provenComplete) {
				throw missingTurnsFailure();
			}
			return nonEmpty(sent);
		}
		if (!extendedBy(sent)) {
			throw CallFailure.notRun(ErrorCode.HISTORY_MISMATCH, "messages must start with the stored history of "
					+ this.messages.size() + " messages; they differ at message " + firstDifference(sent));
		}
		return nonEmpty(sent.subList(this.messages.size(), sent.size()));
	}

	/**
	 * Tells whether a full history holds answers that this one lacks.
	 * @param request the request
	 * @return true after a take-over, if the sent history extends this one by an answer
	 */
	public boolean canBeCompletedBy(CallRequest request) {
		List<Message> sent = request.messages();
		return !this.complete && !request.append() && request.kind() == CallKind.MODEL && extendedBy(sent)
				&& sent.subList(this.messages.size(), sent.size())
					.stream()
					.anyMatch((message) -> message.role().equals(ASSISTANT));
	}

	public CallFailure missingTurnsFailure() {
		return CallFailure.notRun(ErrorCode.HISTORY_MISSING, "the history up to turn " + this.turns
				+ " is stored and later turns may be missing; send the whole history, from turn " + (this.turns + 1));
	}

	MessageHistory extended(List<Message> added, String answer, long totalTokens) {
		List<Message> all = new ArrayList<>(this.messages);
		all.addAll(added);
		Map<Integer, Integer> index = new HashMap<>(this.answers);
		index.put(this.turns + 1, all.size());
		all.add(new Message(ASSISTANT, answer));
		return new MessageHistory(all, totalTokens, this.turns + 1, index, true);
	}

	@Nullable String answer(int turn) {
		Integer index = this.answers.get(turn);
		return (index != null) ? this.messages.get(index).content() : null;
	}

	static long upperBoundTokens(List<Message> messages) {
		long sum = 0;
		for (Message message : messages) {
			sum += message.content().getBytes(StandardCharsets.UTF_8).length + TEMPLATE_TOKENS_PER_MESSAGE;
		}
		return sum;
	}

	private boolean extendedBy(List<Message> sent) {
		return sent.size() >= this.messages.size() && sent.subList(0, this.messages.size()).equals(this.messages);
	}

	private int firstDifference(List<Message> sent) {
		int i = 0;
		while (i < sent.size() && i < this.messages.size() && sent.get(i).equals(this.messages.get(i))) {
			i++;
		}
		return i;
	}

	private static List<Message> nonEmpty(List<Message> added) {
		if (added.isEmpty()) {
			throw CallFailure.notRun(ErrorCode.BAD_REQUEST, "messages must hold at least one new message, has none");
		}
		return added;
	}

}

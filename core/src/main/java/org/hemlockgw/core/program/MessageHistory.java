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
 * @param messages all messages, including the answers of the model
 * @param tokens tokens of the messages as of the last reported usage
 * @param turns number of finished model turns
 * @param answers index in {@code messages} of the answer of each turn, by turn number
 * from 1; a turn has no entry if its answer cannot be distinguished from a message of the
 * caller
 * @param complete whether no turn can be missing; {@code false} after a takeover because
 * turns that finished during a log outage may have been lost with the previous owner
 */
public record MessageHistory(List<Message> messages, long tokens, int turns, Map<Integer, Integer> answers,
		boolean complete) {

	/** Role of a model answer. */
	public static final String ASSISTANT = "assistant";

	/** History of a new program. */
	public static final MessageHistory EMPTY = new MessageHistory(List.of(), 0, 0, Map.of(), true);

	/** Upper bound of the tokens that a chat template adds to each message. */
	private static final long TEMPLATE_TOKENS_PER_MESSAGE = 8;

	public MessageHistory {
		messages = List.copyOf(messages);
		answers = Map.copyOf(answers);
	}

	/**
	 * Restores a history from the ledger.
	 * @param messages all messages
	 * @param tokens tokens as of the last reported usage
	 * @param turns number of finished model turns
	 * @return the history, marked as incomplete unless it is empty
	 */
	public static MessageHistory restore(List<Message> messages, long tokens, int turns) {
		List<Integer> assistantIndexes = new ArrayList<>();
		for (int i = 0; i < messages.size(); i++) {
			if (messages.get(i).role().equals(ASSISTANT)) {
				assistantIndexes.add(i);
			}
		}
		Map<Integer, Integer> answers = new HashMap<>();
		if (assistantIndexes.size() == turns) {
			for (int turn = 1; turn <= turns; turn++) {
				answers.put(turn, assistantIndexes.get(turn - 1));
			}
		}
		else if (turns > 0 && !assistantIndexes.isEmpty()) {
			// The caller also sent assistant messages, so only the last answer can be
			// identified.
			answers.put(turns, assistantIndexes.get(assistantIndexes.size() - 1));
		}
		return new MessageHistory(messages, tokens, turns, answers, messages.isEmpty() && turns == 0);
	}

	/**
	 * Checks the messages of a model turn against this history.
	 * @param request request of the model turn
	 * @param provenComplete whether the step of the request proves that no turn is
	 * missing
	 * @return the messages that the request adds
	 * @throws CallFailure if the messages do not extend this history, if there is no new
	 * message, or if turns may be missing and the request contains only new messages
	 */
	public List<Message> newMessages(CallRequest request, boolean provenComplete) {
		List<Message> sent = request.messages();
		if (request.append()) {
			if (!this.complete && !provenComplete) {
				throw missingTurnsFailure();
			}
			return requireNonEmpty(sent);
		}
		if (!isExtendedBy(sent)) {
			throw CallFailure.notRun(ErrorCode.HISTORY_MISMATCH, "messages must start with the stored history of "
					+ this.messages.size() + " messages; they differ at message " + firstDifference(sent));
		}
		return requireNonEmpty(sent.subList(this.messages.size(), sent.size()));
	}

	/**
	 * Returns whether the request contains the full history with answers that are missing
	 * here.
	 * @param request the request
	 * @return {@code true} if this history may be incomplete after a takeover and the
	 * sent history extends it by at least one answer
	 */
	public boolean canBeCompletedBy(CallRequest request) {
		List<Message> sent = request.messages();
		return !this.complete && !request.append() && request.kind() == CallKind.MODEL && isExtendedBy(sent)
				&& sent.subList(this.messages.size(), sent.size())
					.stream()
					.anyMatch((message) -> message.role().equals(ASSISTANT));
	}

	public CallFailure missingTurnsFailure() {
		return CallFailure.notRun(ErrorCode.HISTORY_MISSING, "the history up to turn " + this.turns
				+ " is stored and later turns may be missing; send the whole history, from turn " + (this.turns + 1));
	}

	MessageHistory withTurn(List<Message> added, String answer, long totalTokens) {
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
		long total = 0;
		for (Message message : messages) {
			total += message.content().getBytes(StandardCharsets.UTF_8).length + TEMPLATE_TOKENS_PER_MESSAGE;
		}
		return total;
	}

	private boolean isExtendedBy(List<Message> sent) {
		return sent.size() >= this.messages.size() && sent.subList(0, this.messages.size()).equals(this.messages);
	}

	private int firstDifference(List<Message> sent) {
		int i = 0;
		while (i < sent.size() && i < this.messages.size() && sent.get(i).equals(this.messages.get(i))) {
			i++;
		}
		return i;
	}

	private static List<Message> requireNonEmpty(List<Message> added) {
		if (added.isEmpty()) {
			throw CallFailure.notRun(ErrorCode.BAD_REQUEST, "messages must hold at least one new message, has none");
		}
		return added;
	}

}

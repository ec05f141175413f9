package org.hemlockgw.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.hemlockgw.core.common.StableHash;
import org.hemlockgw.core.program.Message;

/**
 * Text of the engine's answers and token counts. Tests use it to compute the answer that
 * a prompt must get.
 */
public final class EngineText {

	private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz234567";

	private static final int LETTERS = 3;

	private static final int LETTER_BITS = 5;

	private static final int BYTES_PER_TOKEN = 4;

	private EngineText() {
	}

	/**
	 * Returns the digest of a prompt.
	 * @param messages the prompt without a trailing partial assistant message
	 * @return the digest
	 */
	public static long digest(List<Message> messages) {
		long digest = messages.size();
		for (Message m : messages) {
			digest = StableHash.combine(digest, StableHash.of(m.role()));
			digest = StableHash.combine(digest, StableHash.of(m.content()));
		}
		return digest;
	}

	/**
	 * Returns one token: three letters and a space, so that four bytes are one token in
	 * the answer as well as in text input.
	 * @param digest digest of the prompt
	 * @param index position in the answer
	 * @return the text
	 */
	public static String token(long digest, long index) {
		long hash = StableHash.combine(digest, index);
		StringBuilder word = new StringBuilder(LETTERS + 1);
		for (int i = 0; i < LETTERS; i++) {
			word.append(ALPHABET.charAt((int) (hash >>> (i * LETTER_BITS)) & (ALPHABET.length() - 1)));
		}
		return word.append(' ').toString();
	}

	/**
	 * Returns a part of an answer.
	 * @param digest digest of the prompt
	 * @param from index of the first token
	 * @param to index after the last token
	 * @return the text
	 */
	public static String answer(long digest, long from, long to) {
		StringBuilder text = new StringBuilder();
		for (long i = from; i < to; i++) {
			text.append(token(digest, i));
		}
		return text.toString();
	}

	/**
	 * Counts the tokens of a message: generated words one each, other text one per 4
	 * bytes, rounded up.
	 * @param role role of the message
	 * @param content its text
	 * @return the tokens
	 */
	public static long tokens(String role, String content) {
		if (role.equals("assistant")) {
			return words(content);
		}
		long bytes = content.getBytes(StandardCharsets.UTF_8).length;
		return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
	}

	/**
	 * Counts the tokens of a prompt.
	 * @param messages the prompt
	 * @return the tokens
	 */
	public static long tokens(List<Message> messages) {
		long tokens = 0;
		for (Message m : messages) {
			tokens += tokens(m.role(), m.content());
		}
		return tokens;
	}

	private static long words(String content) {
		long words = 0;
		boolean inWord = false;
		for (int i = 0; i < content.length(); i++) {
			boolean space = Character.isWhitespace(content.charAt(i));
			words += (!space && !inWord) ? 1 : 0;
			inWord = !space;
		}
		return words;
	}

}

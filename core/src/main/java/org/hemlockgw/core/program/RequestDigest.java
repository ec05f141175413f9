package org.hemlockgw.core.program;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * SHA-256 digests of requests and of their content. Each part is prefixed with its
 * length, so that different sequences of parts cannot produce the same input.
 */
public final class RequestDigest {

	private final MessageDigest sha256;

	private RequestDigest() {
		try {
			this.sha256 = MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java platform has no SHA-256", ex);
		}
	}

	/**
	 * Returns the digest that is used to detect an idempotency key with two different
	 * requests.
	 * @param request the request as sent by the caller
	 * @return 64 hex digits
	 */
	public static String of(CallRequest request) {
		RequestDigest digest = new RequestDigest();
		digest.add(request.kind().name());
		digest.add(request.target());
		digest.add(request.idempotent() + " " + request.append() + " " + request.step() + " " + request.maxTokens());
		digest.add(request.path());
		digest.add(request.body());
		digest.add(request.messages());
		return digest.hex();
	}

	/**
	 * Returns the digest that identifies content that crashes engines, independent of
	 * request identifiers. It covers the whole prompt, because many programs continue
	 * with the same message, such as the result of a tool.
	 * @param model model name
	 * @param prompt all messages of the prompt
	 * @return 64 hex digits
	 */
	public static String ofContent(String model, List<Message> prompt) {
		RequestDigest digest = new RequestDigest();
		digest.add(model);
		digest.add(prompt);
		return digest.hex();
	}

	private void add(List<Message> messages) {
		for (Message message : messages) {
			add(message.role());
			add(message.content());
		}
	}

	private void add(String text) {
		add(text.getBytes(StandardCharsets.UTF_8));
	}

	private void add(byte[] bytes) {
		this.sha256.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
		this.sha256.update(bytes);
	}

	private String hex() {
		return HexFormat.of().formatHex(this.sha256.digest());
	}

}

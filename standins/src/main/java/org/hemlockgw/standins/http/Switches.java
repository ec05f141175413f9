package org.hemlockgw.standins.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Fault switches of a stand-in: an immutable record that a JSON object changes field by
 * field.
 *
 * @param <T> record of the switches
 */
public final class Switches<T> {

	private final Class<T> type;

	private volatile T value;

	public Switches(Class<T> type, T initial) {
		this.type = type;
		this.value = initial;
	}

	public T get() {
		return this.value;
	}

	/**
	 * Changes the switches in one step.
	 * @param change derives the new switches
	 * @return the switches before the change
	 */
	public synchronized T update(UnaryOperator<T> change) {
		T before = this.value;
		this.value = change.apply(before);
		return before;
	}

	/**
	 * Sets the fields that a JSON object names and keeps the others.
	 * @param json the object; an unknown field or a wrong type changes nothing
	 */
	public synchronized void set(String json) {
		try {
			JsonNode patch = Json.STRICT.readTree(json);
			if (!(patch instanceof ObjectNode fields)) {
				throw new HttpRejection(400, "switches must be a JSON object, was '" + json + "'");
			}
			ObjectNode merged = Json.STRICT.valueToTree(this.value);
			merged.setAll(fields);
			this.value = Json.STRICT.treeToValue(merged, this.type);
		}
		catch (JsonProcessingException ex) {
			throw new HttpRejection(400, "switches are not valid: " + ex.getOriginalMessage());
		}
	}

	/**
	 * Answers {@code GET /switches} and {@code POST /switches}.
	 * @param exchange the request
	 * @return whether the request was one of the two
	 * @throws IOException when the connection breaks
	 */
	public boolean handle(Exchange exchange) throws IOException {
		switch (exchange.route()) {
			case "GET /switches" -> exchange.respond(200, get());
			case "POST /switches" -> {
				set(new String(exchange.body(), StandardCharsets.UTF_8));
				exchange.respond(200, get());
			}
			default -> {
				return false;
			}
		}
		return true;
	}

}

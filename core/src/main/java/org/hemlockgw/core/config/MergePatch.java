package org.hemlockgw.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON merge patch (RFC 7396). The input is not modified. The result shares unchanged
 * parts with the target, so neither may be modified afterwards.
 */
public final class MergePatch {

	private MergePatch() {
	}

	/**
	 * Applies a patch.
	 * @param target the document; treated as an empty object if the patch is an object
	 * and the target is not
	 * @param patch the patch; a {@code null} member removes its key
	 * @return the patched document
	 */
	public static JsonNode apply(JsonNode target, JsonNode patch) {
		if (!patch.isObject()) {
			return patch;
		}
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		if (target.isObject()) {
			target.properties().forEach((entry) -> result.set(entry.getKey(), entry.getValue()));
		}
		patch.properties().forEach((entry) -> {
			String key = entry.getKey();
			if (entry.getValue().isNull()) {
				result.remove(key);
			}
			else {
				result.set(key, apply(result.path(key), entry.getValue()));
			}
		});
		return result;
	}

}

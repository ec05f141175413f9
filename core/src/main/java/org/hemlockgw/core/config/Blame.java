package org.hemlockgw.core.config;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The version that last changed each part of a document. The tree mirrors the structure
 * of the document. A number stands for a whole subtree that was last changed by one
 * version, which keeps the tree small.
 *
 * @param tree a version number, or an object of subtrees by key
 */
public record Blame(JsonNode tree) {

	/** Blame of the empty document. */
	public static final Blame EMPTY = new Blame(LongNode.valueOf(0));

	/**
	 * Attributes the differences between two documents to a version.
	 * @param before the document that this blame describes
	 * @param after the new document
	 * @param version version of the new document
	 * @return the blame of the new document
	 */
	public Blame withChange(JsonNode before, JsonNode after, long version) {
		return new Blame(changedTree(this.tree, before, after, LongNode.valueOf(version)));
	}

	private static JsonNode changedTree(JsonNode tree, JsonNode before, JsonNode after, LongNode version) {
		if (after.equals(before)) {
			return tree;
		}
		if (!before.isObject() || !after.isObject()) {
			return version;
		}
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		for (Map.Entry<String, JsonNode> entry : after.properties()) {
			JsonNode oldValue = before.path(entry.getKey());
			JsonNode oldTree = tree.isObject() ? tree.path(entry.getKey()) : tree;
			result.set(entry.getKey(), changedTree(oldTree, oldValue, entry.getValue(), version));
		}
		return result.isEmpty() ? version : result;
	}

	/**
	 * Returns the versions of all parts under a path.
	 * @param path key path, or empty for the whole document
	 * @return versions by key path; empty if the document has no such path
	 */
	public SortedMap<String, Long> versionsUnder(String path) {
		SortedMap<String, Long> result = new TreeMap<>();
		JsonNode node = this.tree;
		if (!path.isEmpty()) {
			for (String key : path.split("\\.", -1)) {
				node = node.isObject() ? node.path(key) : node;
			}
		}
		collect(path, node, result);
		return result;
	}

	private static void collect(String path, JsonNode node, Map<String, Long> result) {
		if (node.isIntegralNumber()) {
			result.put(path, node.longValue());
			return;
		}
		node.properties()
			.forEach((entry) -> collect(path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(), entry.getValue(),
					result));
	}

	/**
	 * Returns all versions that occur in the tree.
	 * @return the versions in ascending order
	 */
	public Set<Long> versions() {
		return new TreeSet<>(versionsUnder("").values());
	}

	/**
	 * Decodes a tree.
	 * @param tree the tree
	 * @return the blame, or empty if the tree contains anything but objects and version
	 * numbers
	 */
	public static Optional<Blame> decode(JsonNode tree) {
		return normalise(tree).map(Blame::new);
	}

	// Converts all numbers to LongNode. The JSON parser uses another node type for small
	// numbers, which would not be equal to a LongNode.
	private static Optional<JsonNode> normalise(JsonNode node) {
		if (!node.isObject()) {
			boolean isVersion = node.isIntegralNumber() && node.canConvertToLong();
			return isVersion ? Optional.of(LongNode.valueOf(node.longValue())) : Optional.empty();
		}
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		for (Map.Entry<String, JsonNode> entry : node.properties()) {
			Optional<JsonNode> child = normalise(entry.getValue());
			if (child.isEmpty()) {
				return Optional.empty();
			}
			result.set(entry.getKey(), child.get());
		}
		return Optional.of(result);
	}

}

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
 * The version that last changed each part of a document. The tree follows the document; a
 * number stands for a whole subtree that one version made, which keeps the tree small.
 *
 * @param tree versions; a number or an object of subtrees
 */
public record Blame(JsonNode tree) {

	/** Blame of the empty document. */
	public static final Blame EMPTY = new Blame(LongNode.valueOf(0));

	/**
	 * Attributes the difference of two documents to a version.
	 * @param before the document that this blame describes
	 * @param after the new document
	 * @param version its version
	 * @return blame of the new document
	 */
	public Blame withChange(JsonNode before, JsonNode after, long version) {
		return new Blame(change(this.tree, before, after, LongNode.valueOf(version)));
	}

	private static JsonNode change(JsonNode tree, JsonNode before, JsonNode after, LongNode version) {
		if (after.equals(before)) {
			return tree;
		}
		if (!before.isObject() || !after.isObject()) {
			return version;
		}
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		for (Map.Entry<String, JsonNode> entry : after.properties()) {
			JsonNode old = before.path(entry.getKey());
			JsonNode oldTree = tree.isObject() ? tree.path(entry.getKey()) : tree;
			result.set(entry.getKey(), change(oldTree, old, entry.getValue(), version));
		}
		return result.isEmpty() ? version : result;
	}

	/**
	 * Lists the versions of the parts under a path.
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
	 * Returns all versions that occur.
	 * @return the versions
	 */
	public Set<Long> versions() {
		return new TreeSet<>(versionsUnder("").values());
	}

	/**
	 * Reads a tree.
	 * @param tree the tree
	 * @return the blame, or empty if the tree holds anything but objects and versions
	 */
	public static Optional<Blame> decode(JsonNode tree) {
		return normalise(tree).map(Blame::new);
	}

	// A parser returns small numbers as another node type, which would compare as
	// unequal.
	private static Optional<JsonNode> normalise(JsonNode node) {
		if (!node.isObject()) {
			boolean number = node.isIntegralNumber() && node.canConvertToLong();
			return number ? Optional.of(LongNode.valueOf(node.longValue())) : Optional.empty();
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

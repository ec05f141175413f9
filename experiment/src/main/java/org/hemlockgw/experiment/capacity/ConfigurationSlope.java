package org.hemlockgw.experiment.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigPatch;
import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.platform.LogRecord;

/**
 * Size of the configuration document, memory of its state, and time of one patch.
 */
final class ConfigurationSlope implements Slope {

	private static final int COPIES = 4;

	@Override
	public String name() {
		return "config";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		List<Series> all = new ArrayList<>();
		add(all, measure, "accounts", new int[] { 23, 115, Samples.ACCOUNTS },
				(n) -> Samples.document(n, Samples.ENGINES));
		add(all, measure, "engines", new int[] { 12, 600, Samples.ENGINES },
				(n) -> Samples.document(Samples.ACCOUNTS, n));
		byte[] patch = ConfigCodec.encode(weightPatch(1));
		all.add(Series.measure("config.patch.bytes", "bytes", "patches", new int[] { 1, 10, 100 },
				(n) -> (double) n * patch.length));
		return all;
	}

	private static void add(List<Series> all, Measure measure, String by, int[] sizes, Document document)
			throws Exception {
		all.add(Series.measure("config.document." + by, "bytes", by, sizes,
				(n) -> document.of(n).toString().getBytes(StandardCharsets.UTF_8).length));
		all.add(Series.measure("config.memory." + by, "bytes", by, sizes, (n) -> measure.retainedBytes(() -> {
			List<ConfigState> states = new ArrayList<>();
			for (int i = 0; i < COPIES; i++) {
				states.add(state(document.of(n)));
			}
			return states;
		}) / COPIES));
		all.add(Series.measure("config.patch." + by, "us", by, sizes, (n) -> {
			ConfigState state = state(document.of(n));
			LogRecord entry = new LogRecord(1, Samples.NOW, ConfigCodec.encode(weightPatch(1)));
			return measure.cpuUs(() -> {
				if (state.apply(entry).version() != 2) {
					throw new IllegalStateException("the patch was rejected");
				}
			});
		}));
	}

	private static ConfigState state(ObjectNode document) {
		ConfigPatch first = new ConfigPatch("patch-0", 0, "operator", "first version", document);
		ConfigState state = ConfigState.EMPTY.apply(new LogRecord(0, Samples.NOW, ConfigCodec.encode(first)));
		if (state.version() != 1) {
			throw new IllegalStateException("document rejected: " + state.history().outcomes().get(0).causes());
		}
		return state;
	}

	private static ConfigPatch weightPatch(long base) {
		ObjectNode patch = JsonNodeFactory.instance.objectNode();
		patch.putObject("client_accounts").putObject(Samples.account(1)).put("weight", 2.0);
		return new ConfigPatch("patch-%028d".formatted(base), base, "operator-name",
				"the account has bought a larger share from today on", patch);
	}

	@FunctionalInterface
	private interface Document {

		ObjectNode of(int size);

	}

}

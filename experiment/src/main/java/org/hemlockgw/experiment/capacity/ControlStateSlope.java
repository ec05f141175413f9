package org.hemlockgw.experiment.capacity;

import java.util.ArrayList;
import java.util.List;

import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlRecord.Started;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.ControlStateBuilder;
import org.hemlockgw.wire.codec.ProtobufControlCodec;

/**
 * Memory and fold time of the control state.
 */
final class ControlStateSlope implements Slope {

	private static final int COPIES = 4;

	private final ProtobufControlCodec codec = new ProtobufControlCodec();

	@Override
	public String name() {
		return "control";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		List<Series> all = new ArrayList<>();
		add(all, measure, "daemons", new int[] { 12, 100, Samples.DAEMONS },
				(n) -> encoded(n, ShardId.COUNT, Samples.ENGINES));
		add(all, measure, "shards", new int[] { 512, 2048, ShardId.COUNT },
				(n) -> encoded(Samples.DAEMONS, n, Samples.ENGINES));
		add(all, measure, "engines", new int[] { 12, 600, Samples.ENGINES },
				(n) -> encoded(Samples.DAEMONS, ShardId.COUNT, n));
		return all;
	}

	private void add(List<Series> all, Measure measure, String by, int[] sizes, Input input) throws Exception {
		all.add(Series.measure("control.memory." + by, "bytes", by, sizes, (n) -> {
			List<byte[]> records = input.of(n);
			return measure.retainedBytes(() -> {
				List<ControlState> states = new ArrayList<>();
				for (int i = 0; i < COPIES; i++) {
					states.add(fold(records));
				}
				return states;
			}) / COPIES;
		}));
		all.add(Series.measure("control.fold." + by, "us", by, sizes, (n) -> {
			List<byte[]> records = input.of(n);
			return measure.cpuUs(() -> fold(records));
		}));
		all.add(Series.measure("control.record." + by, "us", by, sizes, (n) -> {
			ControlState state = fold(input.of(n));
			byte[] record = this.codec.encode(new Started(Samples.incarnation(1), Samples.NOW));
			return measure.cpuUs(() -> {
				ControlStateBuilder fold = new ControlStateBuilder(state);
				fold.apply(state.offset(), Samples.NOW, this.codec.decode(record));
				fold.state();
			});
		}));
		all.add(Series.measure("control.bytes." + by, "bytes", by, sizes,
				(n) -> input.of(n).stream().mapToLong((record) -> record.length).sum()));
	}

	private List<byte[]> encoded(int daemons, int shards, int engines) {
		return Samples.control(daemons, shards, engines).stream().map(this.codec::encode).toList();
	}

	private ControlState fold(List<byte[]> records) {
		ControlStateBuilder fold = new ControlStateBuilder(ControlState.EMPTY);
		for (int i = 0; i < records.size(); i++) {
			fold.apply(i, Samples.NOW, this.codec.decode(records.get(i)));
		}
		return fold.state();
	}

	@FunctionalInterface
	private interface Input {

		List<byte[]> of(int size);

	}

}

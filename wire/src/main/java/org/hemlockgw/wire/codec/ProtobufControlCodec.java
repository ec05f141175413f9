package org.hemlockgw.wire.codec;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlCodec;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.control.ControlRecord.ClaimEngines;
import org.hemlockgw.core.control.ControlRecord.ClaimShards;
import org.hemlockgw.core.control.ControlRecord.Down;
import org.hemlockgw.core.control.ControlRecord.Draining;
import org.hemlockgw.core.control.ControlRecord.Quarantine;
import org.hemlockgw.core.control.ControlRecord.ReleaseEngines;
import org.hemlockgw.core.control.ControlRecord.ReleaseShards;
import org.hemlockgw.core.control.ControlRecord.Started;
import org.hemlockgw.core.control.ControlRecord.TakeOverCompleted;
import org.hemlockgw.generated.ledger.ControlProto;
import org.hemlockgw.generated.ledger.DownProto;
import org.hemlockgw.generated.ledger.DrainingProto;
import org.hemlockgw.generated.ledger.EngineEpochsProto;
import org.hemlockgw.generated.ledger.QuarantineProto;
import org.hemlockgw.generated.ledger.ReleaseEnginesProto;
import org.hemlockgw.generated.ledger.ShardEpochsProto;
import org.hemlockgw.generated.ledger.StartedProto;

/**
 * Control records as protobuf messages. Thread-safe.
 */
public final class ProtobufControlCodec implements ControlCodec {

	@Override
	public byte[] encode(ControlRecord record) {
		ControlProto.Builder out = ControlProto.newBuilder();
		if (record instanceof Started r) {
			out.setIncarnation(Values.incarnation(r.incarnation()))
				.setStarted(StartedProto.newBuilder().setAt(Values.time(r.at())));
		}
		else if (record instanceof ClaimShards r) {
			out.setIncarnation(Values.incarnation(r.by())).setClaimShards(epochs(r.epochs(), r.at()));
		}
		else if (record instanceof TakeOverCompleted r) {
			out.setIncarnation(Values.incarnation(r.by())).setTakeOverCompleted(epochs(r.epochs(), Instant.EPOCH));
		}
		else if (record instanceof ReleaseShards r) {
			out.setIncarnation(Values.incarnation(r.by())).setReleaseShards(epochs(r.epochs(), Instant.EPOCH));
		}
		else if (record instanceof ClaimEngines r) {
			out.setIncarnation(Values.incarnation(r.by()))
				.setClaimEngines(EngineEpochsProto.newBuilder().putAllEpochs(r.epochs()).setAt(Values.time(r.at())));
		}
		else if (record instanceof ReleaseEngines r) {
			out.setIncarnation(Values.incarnation(r.by()))
				.setReleaseEngines(ReleaseEnginesProto.newBuilder().addAllEngines(r.engines()));
		}
		else if (record instanceof Draining r) {
			out.setIncarnation(Values.incarnation(r.incarnation()))
				.setDraining(DrainingProto.newBuilder().setAt(Values.time(r.at())));
		}
		else if (record instanceof Down r) {
			out.setIncarnation(Values.incarnation(r.incarnation()))
				.setDown(DownProto.newBuilder()
					.setReportedBy(r.reportedBy())
					.setReason(r.reason())
					.setAt(Values.time(r.at())));
		}
		else if (record instanceof Quarantine r) {
			out.setQuarantine(QuarantineProto.newBuilder()
				.setDigest(r.digest())
				.setReason(r.reason())
				.setUntil(Values.time(r.until())));
		}
		return out.build().toByteArray();
	}

	@Override
	public ControlRecord decode(byte[] data) {
		try {
			return decode(ControlProto.parseFrom(data));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("not a control record: " + ex.getMessage(), ex);
		}
	}

	private static ControlRecord decode(ControlProto in) {
		Incarnation by = Values.incarnation(in.getIncarnation());
		return switch (in.getKindCase()) {
			case STARTED -> new Started(by, Values.time(in.getStarted().getAt()));
			case CLAIM_SHARDS ->
				new ClaimShards(by, epochs(in.getClaimShards()), Values.time(in.getClaimShards().getAt()));
			case TAKE_OVER_COMPLETED -> new TakeOverCompleted(by, epochs(in.getTakeOverCompleted()));
			case RELEASE_SHARDS -> new ReleaseShards(by, epochs(in.getReleaseShards()));
			case CLAIM_ENGINES -> new ClaimEngines(by, Map.copyOf(in.getClaimEngines().getEpochsMap()),
					Values.time(in.getClaimEngines().getAt()));
			case RELEASE_ENGINES -> new ReleaseEngines(by, Set.copyOf(in.getReleaseEngines().getEnginesList()));
			case DRAINING -> new Draining(by, Values.time(in.getDraining().getAt()));
			case DOWN ->
				new Down(by, in.getDown().getReportedBy(), in.getDown().getReason(), Values.time(in.getDown().getAt()));
			case QUARANTINE -> new Quarantine(in.getQuarantine().getDigest(), in.getQuarantine().getReason(),
					Values.time(in.getQuarantine().getUntil()));
			case KIND_NOT_SET -> throw new IllegalArgumentException("control record of unknown kind");
		};
	}

	private static ShardEpochsProto.Builder epochs(Map<ShardId, Long> epochs, Instant at) {
		ShardEpochsProto.Builder out = ShardEpochsProto.newBuilder().setAt(Values.time(at));
		epochs.forEach((shard, epoch) -> out.putEpochs(shard.value(), epoch));
		return out;
	}

	private static Map<ShardId, Long> epochs(ShardEpochsProto in) {
		return in.getEpochsMap()
			.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap((entry) -> new ShardId(entry.getKey()), Map.Entry::getValue));
	}

}

package org.hemlockgw.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ImmutableMaps;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlRecord.ClaimEngines;
import org.hemlockgw.core.control.ControlRecord.ClaimShards;
import org.hemlockgw.core.control.ControlRecord.Down;
import org.hemlockgw.core.control.ControlRecord.Draining;
import org.hemlockgw.core.control.ControlRecord.Quarantine;
import org.hemlockgw.core.control.ControlRecord.ReleaseEngines;
import org.hemlockgw.core.control.ControlRecord.ReleaseShards;
import org.hemlockgw.core.control.ControlRecord.Started;
import org.hemlockgw.core.control.ControlRecord.TakeOverCompleted;

/**
 * Builds a {@link ControlState} by applying the records of the control stream in order.
 * All daemons apply the same rules to the same records and therefore agree on ownership.
 * Not thread-safe.
 */
public final class ControlStateBuilder {

	private final Map<String, Incarnation> incarnations;

	private final Map<ShardId, Ownership> shards;

	private final Map<String, Ownership> engines;

	private final Map<String, Quarantine> quarantined;

	private final Set<String> draining;

	private long offset;

	public ControlStateBuilder(ControlState from) {
		this.offset = from.offset();
		this.incarnations = new HashMap<>(from.incarnations());
		this.shards = new HashMap<>(from.shards());
		this.engines = new HashMap<>(from.engines());
		this.quarantined = new HashMap<>(from.quarantined());
		this.draining = new HashSet<>(from.draining());
	}

	/**
	 * Applies one record.
	 * @param recordOffset offset of the record; records before the offset of the state
	 * are skipped
	 * @param time time at which the log accepted the record; quarantines that end by then
	 * are removed
	 * @param record the record, or {@code null} if it cannot be decoded
	 */
	public void apply(long recordOffset, Instant time, @Nullable ControlRecord record) {
		if (recordOffset < this.offset) {
			return;
		}
		this.offset = recordOffset + 1;
		if (record instanceof Started started) {
			registerIncarnation(started.incarnation());
		}
		else if (record instanceof ClaimShards claim && isCurrent(claim.by())) {
			claim.epochs().forEach((shard, epoch) -> claimShard(shard, epoch, claim));
		}
		else if (record instanceof TakeOverCompleted completed) {
			completed.epochs().forEach((shard, epoch) -> completeTakeOver(shard, epoch, completed.by()));
		}
		else if (record instanceof ReleaseShards release) {
			release.epochs().forEach((shard, epoch) -> releaseShard(shard, epoch, release.by()));
		}
		else if (record instanceof ClaimEngines claim && isCurrent(claim.by())) {
			claim.epochs().forEach((engine, epoch) -> claimEngine(engine, epoch, claim));
		}
		else if (record instanceof ReleaseEngines release) {
			release.engines().forEach((engine) -> releaseEngine(engine, release.by()));
		}
		else if (record instanceof Draining drain && isCurrent(drain.incarnation())) {
			this.draining.add(drain.incarnation().vm());
		}
		else if (record instanceof Down down) {
			removeIncarnation(down.incarnation());
		}
		else if (record instanceof Quarantine quarantine) {
			addQuarantine(quarantine, time);
		}
	}

	/**
	 * Returns the current state.
	 * @return an immutable copy
	 */
	public ControlState state() {
		return new ControlState(this.offset, ImmutableMaps.copyOf(this.incarnations), ImmutableMaps.copyOf(this.shards),
				ImmutableMaps.copyOf(this.engines), ImmutableMaps.copyOf(this.quarantined), Set.copyOf(this.draining));
	}

	/**
	 * Returns the active quarantine of a content digest.
	 * @param state the state
	 * @param digest content digest
	 * @param now current time
	 * @return the quarantine, or {@code null} if there is none or it has expired
	 */
	public static @Nullable Quarantine activeQuarantine(ControlState state, String digest, Instant now) {
		Quarantine found = state.quarantined().get(digest);
		return (found != null && now.isBefore(found.until())) ? found : null;
	}

	// A claim by an incarnation that is not the current one of its VM is void: the
	// daemon wrote it before it read the record that reports it as down.
	private boolean isCurrent(Incarnation by) {
		return by.equals(this.incarnations.get(by.vm()));
	}

	private void registerIncarnation(Incarnation started) {
		Incarnation earlier = this.incarnations.get(started.vm());
		if (earlier != null && !earlier.equals(started)) {
			removeIncarnation(earlier);
		}
		this.incarnations.put(started.vm(), started);
		this.draining.remove(started.vm());
	}

	private void removeIncarnation(Incarnation removed) {
		if (this.incarnations.remove(removed.vm(), removed)) {
			this.draining.remove(removed.vm());
		}
		this.shards.replaceAll(
				(shard, ownership) -> removed.equals(ownership.incarnation()) ? withoutOwner(ownership) : ownership);
		this.engines.replaceAll(
				(engine, ownership) -> removed.equals(ownership.incarnation()) ? withoutOwner(ownership) : ownership);
	}

	private void claimShard(ShardId shard, long epoch, ClaimShards claim) {
		Ownership ownership = this.shards.getOrDefault(shard, Ownership.NONE);
		if (epoch != ownership.epoch() + 1) {
			return;
		}
		List<Incarnation> unsealed = new ArrayList<>(ownership.unsealed());
		unsealed.add(claim.by());
		this.shards.put(shard, new Ownership(epoch, claim.by(), false, claim.at(), List.copyOf(unsealed)));
	}

	private void completeTakeOver(ShardId shard, long epoch, Incarnation by) {
		Ownership ownership = this.shards.getOrDefault(shard, Ownership.NONE);
		if (ownership.epoch() == epoch && by.equals(ownership.incarnation())) {
			this.shards.put(shard, new Ownership(epoch, by, true, ownership.since(), List.of(by)));
		}
	}

	private void releaseShard(ShardId shard, long epoch, Incarnation by) {
		Ownership ownership = this.shards.getOrDefault(shard, Ownership.NONE);
		if (ownership.epoch() == epoch && by.equals(ownership.incarnation())) {
			this.shards.put(shard, withoutOwner(ownership));
		}
	}

	private void claimEngine(String engine, long epoch, ClaimEngines claim) {
		Ownership ownership = this.engines.getOrDefault(engine, Ownership.NONE);
		if (epoch == ownership.epoch() + 1) {
			this.engines.put(engine, new Ownership(epoch, claim.by(), true, claim.at(), List.of()));
		}
	}

	private void releaseEngine(String engine, Incarnation by) {
		Ownership ownership = this.engines.getOrDefault(engine, Ownership.NONE);
		if (by.equals(ownership.incarnation())) {
			this.engines.put(engine, withoutOwner(ownership));
		}
	}

	private void addQuarantine(Quarantine quarantine, Instant time) {
		this.quarantined.values().removeIf((old) -> !old.until().isAfter(time));
		this.quarantined.merge(quarantine.digest(), quarantine,
				(first, second) -> first.until().isAfter(second.until()) ? first : second);
	}

	private static Ownership withoutOwner(Ownership ownership) {
		return new Ownership(ownership.epoch(), null, false, ownership.since(), ownership.unsealed());
	}

}

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
 * Folds records of the control stream into a state. Every daemon applies the same rules
 * to the same records, so all agree on the holders. Not thread-safe.
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
	 * @param position offset of the record; records below the state's offset are skipped
	 * @param time when the log accepted it, which decides about expired quarantines
	 * @param record the record, or {@code null} for one that can not be decoded
	 */
	public void apply(long position, Instant time, @Nullable ControlRecord record) {
		if (position < this.offset) {
			return;
		}
		this.offset = position + 1;
		if (record instanceof Started started) {
			start(started.incarnation());
		}
		else if (record instanceof ClaimShards claim && current(claim.by())) {
			claim.epochs().forEach((shard, epoch) -> claimShard(shard, epoch, claim));
		}
		else if (record instanceof TakeOverCompleted completed) {
			completed.epochs().forEach((shard, epoch) -> complete(shard, epoch, completed.by()));
		}
		else if (record instanceof ReleaseShards release) {
			release.epochs().forEach((shard, epoch) -> release(shard, epoch, release.by()));
		}
		else if (record instanceof ClaimEngines claim && current(claim.by())) {
			claim.epochs().forEach((engine, epoch) -> claimEngine(engine, epoch, claim));
		}
		else if (record instanceof ReleaseEngines release) {
			release.engines().forEach((engine) -> releaseEngine(engine, release.by()));
		}
		else if (record instanceof Draining drain && current(drain.incarnation())) {
			this.draining.add(drain.incarnation().vm());
		}
		else if (record instanceof Down down) {
			remove(down.incarnation());
		}
		else if (record instanceof Quarantine quarantine) {
			quarantine(quarantine, time);
		}
	}

	/**
	 * Returns the folded state.
	 * @return an immutable state
	 */
	public ControlState state() {
		return new ControlState(this.offset, ImmutableMaps.copyOf(this.incarnations), ImmutableMaps.copyOf(this.shards),
				ImmutableMaps.copyOf(this.engines), ImmutableMaps.copyOf(this.quarantined), Set.copyOf(this.draining));
	}

	/**
	 * Returns the quarantine of a digest.
	 * @param state the state
	 * @param digest content digest
	 * @param now current time
	 * @return the record, or {@code null} when there is none or it has expired
	 */
	public static @Nullable Quarantine activeQuarantine(ControlState state, String digest, Instant now) {
		Quarantine found = state.quarantined().get(digest);
		return (found != null && now.isBefore(found.until())) ? found : null;
	}

	// A claim by an incarnation that is not the current one of its VM is void: it was
	// written by a daemon that had not yet read that it was reported down.
	private boolean current(Incarnation by) {
		return by.equals(this.incarnations.get(by.vm()));
	}

	private void start(Incarnation started) {
		Incarnation earlier = this.incarnations.get(started.vm());
		if (earlier != null && !earlier.equals(started)) {
			remove(earlier);
		}
		this.incarnations.put(started.vm(), started);
		this.draining.remove(started.vm());
	}

	private void remove(Incarnation gone) {
		if (this.incarnations.remove(gone.vm(), gone)) {
			this.draining.remove(gone.vm());
		}
		this.shards.replaceAll((shard, holder) -> gone.equals(holder.incarnation()) ? free(holder) : holder);
		this.engines.replaceAll((engine, holder) -> gone.equals(holder.incarnation()) ? free(holder) : holder);
	}

	private void claimShard(ShardId shard, long epoch, ClaimShards claim) {
		Ownership holder = this.shards.getOrDefault(shard, Ownership.NONE);
		if (epoch != holder.epoch() + 1) {
			return;
		}
		List<Incarnation> unsealed = new ArrayList<>(holder.unsealed());
		unsealed.add(claim.by());
		this.shards.put(shard, new Ownership(epoch, claim.by(), false, claim.at(), List.copyOf(unsealed)));
	}

	private void complete(ShardId shard, long epoch, Incarnation by) {
		Ownership holder = this.shards.getOrDefault(shard, Ownership.NONE);
		if (holder.epoch() == epoch && by.equals(holder.incarnation())) {
			this.shards.put(shard, new Ownership(epoch, by, true, holder.since(), List.of(by)));
		}
	}

	private void release(ShardId shard, long epoch, Incarnation by) {
		Ownership holder = this.shards.getOrDefault(shard, Ownership.NONE);
		if (holder.epoch() == epoch && by.equals(holder.incarnation())) {
			this.shards.put(shard, free(holder));
		}
	}

	private void claimEngine(String engine, long epoch, ClaimEngines claim) {
		Ownership holder = this.engines.getOrDefault(engine, Ownership.NONE);
		if (epoch == holder.epoch() + 1) {
			this.engines.put(engine, new Ownership(epoch, claim.by(), true, claim.at(), List.of()));
		}
	}

	private void releaseEngine(String engine, Incarnation by) {
		Ownership holder = this.engines.getOrDefault(engine, Ownership.NONE);
		if (by.equals(holder.incarnation())) {
			this.engines.put(engine, free(holder));
		}
	}

	private void quarantine(Quarantine quarantine, Instant time) {
		this.quarantined.values().removeIf((old) -> !old.until().isAfter(time));
		this.quarantined.merge(quarantine.digest(), quarantine,
				(old, add) -> old.until().isAfter(add.until()) ? old : add);
	}

	private static Ownership free(Ownership holder) {
		return new Ownership(holder.epoch(), null, false, holder.since(), holder.unsealed());
	}

}

package org.hemlockgw.experiment.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.PoolMember;
import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.ResponseTiming;
import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;

/**
 * The product's rule before placement knew sessions: lowest estimate from one moving
 * average per server, a fixed reading speed and a cache of 512 parts. The queue has the
 * product's order and refuses nothing.
 */
final class FormerRule implements SlotScheduler {

	private static final double SAMPLE_WEIGHT = 0.1;

	private static final double FULL_LOAD_SLOWDOWN = 0.25;

	private static final double PREFILL_TOKENS_PER_MS = 164;

	private static final double CONNECT_MS = 4;

	private static final int MAX_PARTS = 512;

	private static final double NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private final Map<String, Server> servers = new HashMap<>();

	private final Map<String, Grant> grants = new HashMap<>();

	private final TreeSet<Waiting> queue = new TreeSet<>(
			Comparator.comparing((Waiting waiting) -> !waiting.request().programStarted())
				.thenComparing((waiting) -> waiting.request().programRemainingMs() < 0)
				.thenComparingInt((waiting) -> waiting.request().priority())
				.thenComparingLong(Waiting::sequence));

	private double averageDurationMs = 100;

	private long sequence;

	FormerRule(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	@Override
	public void updateServers(List<PoolMember> members) {
		Map<String, Server> next = new HashMap<>();
		members.forEach((member) -> next.put(member.id(), this.servers.getOrDefault(member.id(), new Server(member))));
		this.servers.clear();
		this.servers.putAll(next);
		grantWaiting();
	}

	@Override
	public void submit(SlotRequest request, Consumer<SlotDecision> answer) {
		this.queue.add(new Waiting(request, answer, ++this.sequence));
		grantWaiting();
	}

	@Override
	public void release(String id, ResponseTiming timing) {
		Grant grant = this.grants.remove(id);
		if (grant != null) {
			grant.server().inFlight--;
			double durationMs = (this.nanoClock.getAsLong() - grant.atNanos()) / NANOS_PER_MS;
			this.averageDurationMs += SAMPLE_WEIGHT * (durationMs - this.averageDurationMs);
			grant.server().record(durationMs / Math.max(1, timing.units()));
		}
		grantWaiting();
	}

	@Override
	public void expireOverdue() {
		grantWaiting();
	}

	private void grantWaiting() {
		for (Waiting waiting : new ArrayList<>(this.queue)) {
			Server server = select(waiting.request());
			if (server == null) {
				return;
			}
			this.queue.remove(waiting);
			server.inFlight++;
			waiting.request().prompt().forEach((part) -> server.parts.put(part.id(), Boolean.TRUE));
			this.grants.put(waiting.request().id(), new Grant(server, this.nanoClock.getAsLong()));
			waiting.answer().accept(SlotDecision.granted(server.member));
		}
	}

	private @Nullable Server select(SlotRequest request) {
		double average = this.servers.values()
			.stream()
			.mapToDouble((server) -> server.msPerUnit)
			.filter((value) -> !Double.isNaN(value))
			.average()
			.orElse(0);
		Server selected = null;
		double lowest = Double.MAX_VALUE;
		for (Server server : this.servers.values()) {
			if (server.inFlight < server.member.slots()) {
				double cost = server.estimateMs(request, this.averageDurationMs, average);
				if (cost < lowest) {
					selected = server;
					lowest = cost;
				}
			}
		}
		return selected;
	}

	private record Grant(Server server, long atNanos) {
	}

	private record Waiting(SlotRequest request, Consumer<SlotDecision> answer, long sequence) {
	}

	private static final class Server {

		private final PoolMember member;

		private final Map<String, Boolean> parts = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
				return size() > MAX_PARTS;
			}
		};

		private int inFlight;

		private double msPerUnit = Double.NaN;

		Server(PoolMember member) {
			this.member = member;
		}

		void record(double sample) {
			this.msPerUnit = Double.isNaN(this.msPerUnit) ? sample
					: this.msPerUnit + SAMPLE_WEIGHT * (sample - this.msPerUnit);
		}

		double estimateMs(SlotRequest request, double averageDurationMs, double averageMsPerUnit) {
			double unitMs = Double.isNaN(this.msPerUnit) ? averageMsPerUnit : this.msPerUnit;
			double relative = (averageMsPerUnit > 0) ? unitMs / averageMsPerUnit : 1;
			double load = 1 + FULL_LOAD_SLOWDOWN * this.inFlight / this.member.slots();
			int cached = 0;
			for (PromptPart part : request.prompt()) {
				if (!this.parts.containsKey(part.id())) {
					break;
				}
				cached += part.tokens();
			}
			double connectMs = request.connected().contains(this.member.id()) ? 0 : CONNECT_MS;
			return averageDurationMs * relative * load - cached / PREFILL_TOKENS_PER_MS + connectMs;
		}

	}

}

package org.hemlockgw.daemon.dispatch;

import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.config.BackendKind;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.dispatch.EngineChoice;
import org.hemlockgw.core.dispatch.EngineChooser;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.dispatch.EngineQuery;
import org.hemlockgw.core.membership.BackendAvailability;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.schedule.CompletionEstimate;
import org.hemlockgw.core.schedule.EngineSpeed;

/**
 * Chooses the engine with the lowest estimated cost of completion.
 */
public final class CompletionEngineChooser implements EngineChooser {

	private final Blackboard blackboard;

	private final Map<String, Pending> pending = new ConcurrentHashMap<>();

	public CompletionEngineChooser(Blackboard blackboard) {
		this.blackboard = blackboard;
	}

	@Override
	public Optional<EngineChoice> choose(EngineQuery query) {
		Configuration configuration = this.blackboard.configuration().get();
		Map<String, Vm> vms = this.blackboard.vms().get();
		Map<String, EngineLoad> loads = this.blackboard.engineLoads().get();
		BackendServer best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		for (BackendServer server : configuration.backendServers().values()) {
			if (!serves(server, query, vms)) {
				continue;
			}
			double cost = cost(configuration, server, loads.get(server.name()), query);
			if (cost < bestCost) {
				best = server;
				bestCost = cost;
			}
		}
		return (best != null) ? Optional.of(commit(best, query, bestCost)) : Optional.empty();
	}

	private static boolean serves(BackendServer server, EngineQuery query, Map<String, Vm> vms) {
		return server.kind() == BackendKind.ENGINE && server.models().contains(query.model())
				&& !query.excluded().contains(server.name()) && BackendAvailability.acceptsWork(server, vms);
	}

	private double cost(Configuration configuration, BackendServer server, @Nullable EngineLoad known,
			EngineQuery query) {
		EngineLoad load = (known != null) ? known : idle(server);
		if (load.inFlightLimit() == 0) {
			// The engine did not answer lately; it is chosen only if there is no other.
			return Double.MAX_VALUE;
		}
		long held = Math.min(query.promptTokens(), query.lastPromptTokens());
		long cached = server.name().equals(query.lastEngine()) ? held : 0;
		Pending sent = this.pending.get(server.name());
		long ahead = (sent != null && !load.at().isAfter(sent.since)) ? sent.tokens : 0;
		return CompletionEstimate.seconds(configuration.policy(), load, ahead, query.promptTokens(), cached, held);
	}

	private EngineChoice commit(BackendServer server, EngineQuery query, double cost) {
		long cached = server.name().equals(query.lastEngine())
				? Math.min(query.promptTokens(), query.lastPromptTokens()) : 0;
		EngineLoad load = this.blackboard.engineLoads().get().get(server.name());
		Instant at = (load != null) ? load.at() : Instant.EPOCH;
		long work = query.promptTokens() - cached;
		this.pending.merge(server.name(), new Pending(at, work),
				(old, added) -> old.since.equals(at) ? new Pending(at, old.tokens + work) : added);
		String reason = String.format(Locale.ROOT, "lowest estimated cost %.3f s with %d of %d prompt tokens cached",
				cost, cached, query.promptTokens());
		return new EngineChoice(server.name(), cached, reason);
	}

	private static EngineLoad idle(BackendServer server) {
		EngineSpeed speed = EngineSpeed.INITIAL;
		return new EngineLoad(server.name(), 0, 0, Math.max(1, server.maxInFlight()), 0, speed.prefillTokensPerSecond(),
				speed.decodeTokensPerSecond(), Instant.EPOCH);
	}

	/**
	 * Work sent to an engine since its load was known, so that requests chosen between
	 * two reports do not all go to the same engine.
	 */
	private record Pending(Instant since, long tokens) {
	}

}

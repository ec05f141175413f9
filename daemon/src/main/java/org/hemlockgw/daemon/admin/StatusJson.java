package org.hemlockgw.daemon.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmState;

/**
 * Writes what one daemon knows about the system as JSON.
 */
final class StatusJson {

	private StatusJson() {
	}

	static ObjectNode write(Incarnation self, Readiness readiness, Blackboard blackboard) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.set("incarnation", incarnation(self));
		json.put("ready", readiness.ready()).put("detail", readiness.detail());
		json.put("configuration_version", blackboard.configuration().get().version());
		Map<String, Vm> vms = new TreeMap<>(blackboard.vms().get());
		ArrayNode list = json.putArray("vms");
		vms.values().forEach((vm) -> list.add(vm(vm)));
		ControlState control = blackboard.control().get();
		json.set("shards", shards(control));
		json.set("engines", engines(control, blackboard.engineLoads().get()));
		ArrayNode leaving = json.putArray("leaving");
		leaving(blackboard).forEach(leaving::add);
		ArrayNode quarantine = json.putArray("quarantine");
		control.quarantined()
			.values()
			.forEach((q) -> quarantine.addObject()
				.put("digest", q.digest())
				.put("reason", q.reason())
				.put("until", q.until().toString()));
		return json;
	}

	private static ObjectNode incarnation(Incarnation incarnation) {
		return JsonNodeFactory.instance.objectNode().put("vm", incarnation.vm()).put("id", incarnation.id());
	}

	private static ObjectNode vm(Vm vm) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("name", vm.name()).put("address", vm.address()).put("admin", vm.adminAddress());
		json.put("data_centre", vm.dataCentre()).put("weight", vm.weight());
		json.put("kind", vm.kind().name().toLowerCase(Locale.ROOT));
		return json.put("state", vm.state().name().toLowerCase(Locale.ROOT));
	}

	// Shards are grouped by owner, because one object for each of 4,096 would be large.
	private static ObjectNode shards(ControlState control) {
		Map<String, List<Integer>> owners = new TreeMap<>();
		control.shards().forEach((shard, holder) -> {
			Incarnation owner = holder.incarnation();
			if (owner != null) {
				owners.computeIfAbsent(owner.vm() + "/" + owner.id(), (key) -> new ArrayList<>()).add(shard.value());
			}
		});
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		owners.forEach((owner, shards) -> {
			ArrayNode array = json.putArray(owner);
			shards.stream().sorted().forEach(array::add);
		});
		return json;
	}

	private static ArrayNode engines(ControlState control, Map<String, EngineLoad> loads) {
		ArrayNode json = JsonNodeFactory.instance.arrayNode();
		Set<String> names = new TreeSet<>(control.engines().keySet());
		names.addAll(loads.keySet());
		for (String name : names) {
			ObjectNode engine = json.addObject().put("name", name).put("epoch", control.engineOwnership(name).epoch());
			Incarnation dispatcher = control.engineOwnership(name).incarnation();
			if (dispatcher != null) {
				engine.set("dispatcher", incarnation(dispatcher));
			}
			EngineLoad load = loads.get(name);
			if (load != null) {
				engine.put("queued", load.queued()).put("in_flight", load.inFlight());
				engine.put("in_flight_limit", load.inFlightLimit()).put("queued_tokens", load.queuedTokens());
				engine.put("load_at", load.observedAt().toString());
			}
		}
		return json;
	}

	private static Set<String> leaving(Blackboard blackboard) {
		Set<String> result = new TreeSet<>();
		blackboard.configuration()
			.get()
			.backendServers()
			.values()
			.stream()
			.filter(BackendServer::leaving)
			.forEach((server) -> result.add(server.name()));
		blackboard.vms()
			.get()
			.values()
			.stream()
			.filter((vm) -> vm.state() == VmState.LEAVING)
			.forEach((vm) -> result.add(vm.name()));
		return result;
	}

}

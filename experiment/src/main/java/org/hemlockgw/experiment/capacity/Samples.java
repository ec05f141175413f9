package org.hemlockgw.experiment.capacity;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hemlockgw.core.common.ImmutableMaps;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.control.ControlRecord.ClaimEngines;
import org.hemlockgw.core.control.ControlRecord.ClaimShards;
import org.hemlockgw.core.control.ControlRecord.Started;
import org.hemlockgw.core.control.ControlRecord.TakeOverCompleted;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.Usage;

/**
 * Data of the sizes of the target, with names of a usual length.
 */
final class Samples {

	/** Data centres of the target. */
	static final int DATA_CENTRES = 9;

	/** Daemons of the target. */
	static final int DAEMONS = 350;

	/** Engines of the target. */
	static final int ENGINES = 2400;

	/** Client accounts of the target. */
	static final int ACCOUNTS = 460;

	/** Models of the target. */
	static final int MODELS = 7;

	/** Assumed length of a token's text. */
	static final int CHARACTERS_PER_TOKEN = 4;

	static final Instant NOW = Instant.parse("2026-12-04T06:00:00Z");

	private Samples() {
	}

	static String daemon(int i) {
		return String.format("entry-%04d", i);
	}

	static String engine(int i) {
		return String.format("lm-pool-%04d", i);
	}

	static String account(int i) {
		return String.format("account-%04d", i);
	}

	static String dataCentre(int i) {
		return "dc-" + i % DATA_CENTRES;
	}

	static Incarnation incarnation(int daemon) {
		return new Incarnation(daemon(daemon), String.format("%032x", daemon));
	}

	static Vm vm(String name, int i, VmKind kind) {
		String ip = "10.%d.%d.%d".formatted((kind == VmKind.ENTRY) ? 1 : 2, i / 250, 1 + i % 250);
		return new Vm(name, ip + ":8081", (kind == VmKind.ENTRY) ? ip + ":8082" : null, dataCentre(i), 1, kind,
				VmState.LIVE);
	}

	static Map<String, Vm> vms(int daemons, int engines) {
		Map<String, Vm> vms = new HashMap<>();
		for (int i = 0; i < daemons; i++) {
			vms.put(daemon(i), vm(daemon(i), i, VmKind.ENTRY));
		}
		for (int i = 0; i < engines; i++) {
			vms.put(engine(i), vm(engine(i), i, VmKind.BACKEND));
		}
		return ImmutableMaps.copyOf(vms);
	}

	static List<ControlRecord> control(int daemons, int shards, int engines) {
		List<Map<ShardId, Long>> shardsOf = new ArrayList<>();
		List<Map<String, Long>> enginesOf = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			shardsOf.add(new TreeMap<>());
			enginesOf.add(new TreeMap<>());
		}
		for (int i = 0; i < shards; i++) {
			shardsOf.get(i % daemons).put(new ShardId(i), 1L);
		}
		for (int i = 0; i < engines; i++) {
			enginesOf.get(i % daemons).put(engine(i), 1L);
		}
		List<ControlRecord> records = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			Incarnation by = incarnation(i);
			records.add(new Started(by, NOW));
			records.add(new ClaimShards(by, shardsOf.get(i), NOW));
			records.add(new TakeOverCompleted(by, shardsOf.get(i)));
			records.add(new ClaimEngines(by, enginesOf.get(i), NOW));
		}
		return records;
	}

	static ObjectNode document(int accounts, int engines) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		ObjectNode centres = document.putObject("data_centres");
		for (int i = 0; i < DATA_CENTRES; i++) {
			centres.putObject(dataCentre(i)).put("region", "region-" + i / 3);
		}
		ObjectNode servers = document.putObject("backend_servers");
		for (int i = 0; i < engines; i++) {
			ObjectNode server = servers.putObject(engine(i));
			server.put("kind", "engine").put("address", "10.2.%d.%d:8000".formatted(i / 250, 1 + i % 250));
			server.put("data_centre", dataCentre(i)).put("max_in_flight", 32).put("cache_tokens", 900_000);
			server.putArray("models").add("model-" + i % MODELS);
		}
		ObjectNode clients = document.putObject("client_accounts");
		for (int i = 0; i < accounts; i++) {
			ObjectNode client = clients.putObject(account(i));
			client.put("weight", 1.0).put("program_budget_tokens", 2_000_000).put("max_programs", 400);
			client.putArray("key_sha256").add("%064x".formatted(i + 1));
			client.putArray("models").add("model-0").add("model-1");
		}
		return document;
	}

	static ProgramId program(int i) {
		return new ProgramId(account(i % ACCOUNTS), "p%016x".formatted(i * 0x9e3779b97f4a7c15L));
	}

	static String text(int characters, long seed) {
		Random random = new Random(seed);
		StringBuilder text = new StringBuilder(characters);
		while (text.length() < characters) {
			text.append((char) ('a' + random.nextInt(26)));
		}
		return text.toString();
	}

	/**
	 * Creates a turn.
	 * @param program number of the program
	 * @param turn number of the turn
	 * @param characters length of the new message and the answer together
	 * @return the record
	 */
	static TurnCompleted turn(int program, int turn, int characters) {
		long seed = program * 1000L + turn;
		Message question = new Message("user", text(characters / 2, seed));
		Message answer = new Message("assistant", text(characters - characters / 2, -seed));
		long tokens = Math.max(1, characters / 2 / CHARACTERS_PER_TOKEN);
		return new TurnCompleted(program(program), "%032x".formatted(seed), turn, List.of(question), answer,
				new Usage(tokens, 0, tokens), "stop", engine(program % ENGINES), "%064x".formatted(seed), NOW);
	}

	static <T> List<T> repeated(int count, T value) {
		return Collections.nCopies(count, value);
	}

}

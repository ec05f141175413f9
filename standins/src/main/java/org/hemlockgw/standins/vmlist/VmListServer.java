package org.hemlockgw.standins.vmlist;

import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.hemlockgw.standins.http.Exchange;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.http.StandinHttpServer;
import org.hemlockgw.standins.http.Switches;

/**
 * The platform's list of VMs, with a switchable lag and outage.
 */
public final class VmListServer implements AutoCloseable {

	/** Bounds the memory of versions that a lag may still show. */
	private static final int MAX_VERSIONS = 10_000;

	private static final Set<String> KINDS = Set.of("entry", "backend");

	private static final Set<String> STATES = Set.of("live", "leaving");

	private final Deque<Version> versions = new ArrayDeque<>();

	private final InstantSource clock;

	private final Switches<VmListSwitches> switches;

	private final StandinHttpServer http;

	public VmListServer(VmListOptions options, String address) {
		this(options, address, InstantSource.system());
	}

	public VmListServer(VmListOptions options, String address, InstantSource clock) {
		this.clock = clock;
		this.switches = new Switches<>(VmListSwitches.class, new VmListSwitches(options.lagMs(), false));
		this.http = new StandinHttpServer(address, this::handle);
		this.versions.add(new Version(Instant.MIN, Map.of()));
	}

	public void start() {
		this.http.start();
	}

	public String address() {
		return this.http.address();
	}

	/**
	 * Sets the switches that a JSON object names.
	 * @param json same object as of {@code POST /switches}
	 */
	public void set(String json) {
		this.switches.set(json);
	}

	/**
	 * Adds or replaces a VM.
	 * @param name name of the VM
	 * @param vm the entry; its name is ignored
	 */
	public synchronized void put(String name, VmEntry vm) {
		VmEntry completed = vm.completed(name);
		if (vm.address() == null || vm.dataCentre() == null) {
			throw new HttpRejection(400, "address and data_centre must be given");
		}
		if (vm.kind() == null || !KINDS.contains(vm.kind())) {
			throw new HttpRejection(400, "kind must be entry or backend, was '" + vm.kind() + "'");
		}
		if (!STATES.contains(String.valueOf(completed.state()))) {
			throw new HttpRejection(400, "state must be live or leaving, was '" + vm.state() + "'");
		}
		Map<String, VmEntry> changed = new TreeMap<>(this.versions.getLast().vms());
		changed.put(name, completed);
		publish(changed);
	}

	/**
	 * Removes a VM.
	 * @param name name of the VM
	 */
	public synchronized void remove(String name) {
		Map<String, VmEntry> changed = new TreeMap<>(this.versions.getLast().vms());
		changed.remove(name);
		publish(changed);
	}

	@Override
	public void close() {
		this.http.close();
	}

	private void handle(Exchange exchange) throws IOException {
		if (this.switches.handle(exchange)) {
			return;
		}
		if (exchange.route().equals("GET /vms")) {
			if (this.switches.get().outage()) {
				throw new HttpRejection(503, "the VM list is down");
			}
			exchange.respond(200, Map.of("vms", visible()));
			return;
		}
		List<String> path = exchange.segments();
		if (path.size() != 2 || !path.get(0).equals("vms")) {
			throw new HttpRejection(404, "no such resource: " + exchange.route());
		}
		switch (exchange.method()) {
			case "PUT" -> put(path.get(1), exchange.json(VmEntry.class));
			case "DELETE" -> remove(path.get(1));
			default -> throw new HttpRejection(405, "allowed methods are PUT and DELETE");
		}
		exchange.respond(200, Map.of());
	}

	private void publish(Map<String, VmEntry> vms) {
		this.versions.add(new Version(this.clock.instant(), vms));
		if (this.versions.size() > MAX_VERSIONS) {
			this.versions.removeFirst();
		}
	}

	private synchronized List<VmEntry> visible() {
		Instant newest = this.clock.instant().minusMillis(this.switches.get().lagMs());
		Iterator<Version> latestFirst = this.versions.descendingIterator();
		while (latestFirst.hasNext()) {
			Version version = latestFirst.next();
			if (!version.since().isAfter(newest)) {
				return List.copyOf(version.vms().values());
			}
		}
		return List.of();
	}

	private record Version(Instant since, Map<String, VmEntry> vms) {
	}

}

package org.hemlockgw.remote;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.vmlist.VmEntry;
import org.hemlockgw.standins.vmlist.VmListOptions;
import org.hemlockgw.standins.vmlist.VmListServer;

import static com.google.common.truth.Truth.assertThat;

class HttpVmListTests {

	private final MutableClock clock = new MutableClock();

	private final VmListServer server = new VmListServer(VmListOptions.DEFAULT, TestCalls.ANY_PORT, this.clock);

	private HttpVmList list;

	@BeforeEach
	void start() {
		this.server.start();
		this.list = new HttpVmList(this.server.address(), TestCalls.EXECUTOR);
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	@Test
	void allFieldsArriveWithTheirDefaults() throws Exception {
		this.server.put("a", new VmEntry(null, "10.0.0.1:1", "10.0.0.1:2", "sto-a", 0.5, "entry", "leaving"));
		this.server.put("b", new VmEntry(null, "10.0.0.2:1", null, "sto-b", null, "backend", null));
		assertThat(TestCalls.get(this.list.list())).containsExactly(
				new Vm("a", "10.0.0.1:1", "10.0.0.1:2", "sto-a", 0.5, VmKind.ENTRY, VmState.LEAVING),
				new Vm("b", "10.0.0.2:1", null, "sto-b", 1, VmKind.BACKEND, VmState.LIVE));
	}

	@Test
	void theLagHidesJoiningAndLeavingVms() throws Exception {
		this.server.set("{\"lag_ms\":1000}");
		this.server.put("a", vm());
		this.clock.advanceMillis(999);
		assertThat(TestCalls.get(this.list.list())).isEmpty();
		this.clock.advanceMillis(1);
		assertThat(TestCalls.get(this.list.list())).hasSize(1);
		this.server.remove("a");
		assertThat(TestCalls.get(this.list.list())).hasSize(1);
		this.clock.advanceMillis(1000);
		assertThat(TestCalls.get(this.list.list())).isEmpty();
	}

	@Test
	void anOutageFailsReads() throws Exception {
		this.server.set("{\"outage\":true}");
		assertThat(TestCalls.failure(this.list.list()).code()).isEqualTo(ErrorCode.BACKEND_UNAVAILABLE);
		this.server.set("{\"outage\":false}");
		assertThat(TestCalls.get(this.list.list())).isEmpty();
	}

	@Test
	void anInvalidVmChangesNothing() throws Exception {
		VmEntry invalid = new VmEntry(null, "10.0.0.1:1", null, "sto-a", null, "router", null);
		assertThat(rejectionOf(invalid)).isEqualTo("kind must be entry or backend, was 'router'");
		assertThat(TestCalls.get(this.list.list())).isEmpty();
	}

	private String rejectionOf(VmEntry vm) {
		try {
			this.server.put("a", vm);
			return "accepted";
		}
		catch (HttpRejection ex) {
			return String.valueOf(ex.getMessage());
		}
	}

	private static VmEntry vm() {
		return new VmEntry(null, "10.0.0.1:1", null, "sto-a", null, "entry", null);
	}

}

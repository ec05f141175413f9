package org.hemlockgw.daemon.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;

import static com.google.common.truth.Truth.assertThat;

class VmListControllerTests {

	// Guards against VMs that vanish during an outage of the VM list, and against a
	// controller that stops polling after a failure.
	@Example
	void keepsTheLastListThroughOutages() throws Exception {
		Blackboard blackboard = Blackboard.create();
		AtomicInteger polls = new AtomicInteger();
		CompletableFuture<Map<String, Vm>> second = new CompletableFuture<>();
		blackboard.vms().addListener((vms) -> {
			if (vms.containsKey("b")) {
				second.complete(vms);
			}
		});
		ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
		try (VmListController controller = new VmListController(() -> switch (polls.getAndIncrement()) {
			case 0 -> CompletableFuture.completedFuture(List.of(vm("a")));
			case 1 -> CompletableFuture.failedFuture(new Exception("outage"));
			case 2 -> throw new IllegalStateException("closed");
			case 3 -> CompletableFuture.completedFuture(List.of());
			default -> CompletableFuture.completedFuture(List.of(vm("a"), vm("b")));
		}, blackboard, executor)) {
			controller.start();
			assertThat(controller.awaitFirst().get(5, TimeUnit.SECONDS)).containsExactly("a", vm("a"));
			// Four polls at one a second; the bound of guarantee G8 is 5 s more.
			assertThat(second.get(9, TimeUnit.SECONDS)).hasSize(2);
			assertThat(polls.get()).isAtLeast(5);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static Vm vm(String name) {
		return new Vm(name, "127.0.0.1:1", null, "sto-a", 1, VmKind.ENTRY, VmState.LIVE);
	}

}

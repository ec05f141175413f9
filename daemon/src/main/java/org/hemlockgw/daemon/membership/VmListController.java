package org.hemlockgw.daemon.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.ImmutableMaps;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.platform.VmList;

/**
 * Polls the VM list into the blackboard. The last list stays through an outage.
 */
public final class VmListController implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long POLL_INTERVAL_MS = 1000;

	private static final long POLL_TIMEOUT_MS = 2000;

	private final VmList vmList;

	private final Blackboard blackboard;

	private final ScheduledExecutorService executor;

	private final CompletableFuture<Map<String, Vm>> first = new CompletableFuture<>();

	private volatile boolean closed;

	public VmListController(VmList vmList, Blackboard blackboard, ScheduledExecutorService executor) {
		this.vmList = vmList;
		this.blackboard = blackboard;
		this.executor = executor;
	}

	public void start() {
		schedule(0);
	}

	/**
	 * Returns a future for readiness.
	 * @return completes with the first list read
	 */
	public CompletableFuture<Map<String, Vm>> awaitFirst() {
		return this.first.copy();
	}

	private void poll() {
		if (this.closed) {
			return;
		}
		CompletableFuture<List<Vm>> list = list();
		list.copy()
			.orTimeout(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.thenAccept(this::publish)
			.whenComplete((ok, error) -> {
				// Frees the connection of a request that got no response.
				list.cancel(true);
				if (error != null) {
					logger.atWarning()
						.atMostEvery(10, TimeUnit.SECONDS)
						.log("Cannot read the VM list; the last one stays: %s", error.getMessage());
				}
				schedule(POLL_INTERVAL_MS);
			});
	}

	// A failure of any kind must not end the polls.
	private CompletableFuture<List<Vm>> list() {
		try {
			return this.vmList.list();
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void publish(List<Vm> list) {
		if (list.isEmpty()) {
			// This daemon runs on a VM, so an empty list is a fault of the VM list.
			logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log("Ignored an empty VM list");
			return;
		}
		Map<String, Vm> byName = new TreeMap<>();
		list.forEach((vm) -> byName.put(vm.name(), vm));
		if (!byName.equals(this.blackboard.vms().get())) {
			this.blackboard.vms().set(ImmutableMaps.copyOf(byName));
		}
		this.first.complete(this.blackboard.vms().get());
	}

	private void schedule(long delayMs) {
		try {
			this.executor.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			this.closed = true;
		}
	}

	@Override
	public void close() {
		this.closed = true;
	}

}

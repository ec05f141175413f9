package org.hemlockgw.daemon.dispatch;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.control.Ownership;
import org.hemlockgw.core.platform.EngineClient;

/**
 * Releases cache sessions of ended programs. A release order can be lost, so it is
 * repeated until the engine's own list no longer shows the session.
 */
public final class CacheReleaser {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long FIRST_RETRY_MS = 100;

	private static final long MAX_RETRY_MS = 5_000;

	/**
	 * The previous dispatcher stops sending orders 5 s after its last read of control.
	 */
	private static final Duration PREVIOUS_LEASE = Duration.ofSeconds(10);

	private final DispatcherContext context;

	private final BooleanSupplier leaseValid;

	private final Set<Pending> pending = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a releaser.
	 * @param context what the parts of the dispatcher share
	 * @param leaseValid whether this daemon has read the control stream recently enough
	 * to send orders
	 */
	public CacheReleaser(DispatcherContext context, BooleanSupplier leaseValid) {
		this.context = context;
		this.leaseValid = leaseValid;
	}

	public void release(String engine, ProgramId program) {
		Pending order = new Pending(engine, program.sessionName());
		if (this.pending.add(order)) {
			this.context.executor().execute(() -> attempt(order, FIRST_RETRY_MS));
		}
	}

	/**
	 * Returns how many sessions are not yet known to be released.
	 * @return the number of pending releases
	 */
	public int pendingCount() {
		return this.pending.size();
	}

	private void attempt(Pending order, long retryMs) {
		BackendServer server = this.context.blackboard().configuration().get().backendServers().get(order.engine());
		if (server == null) {
			this.pending.remove(order);
			return;
		}
		if (!mayOrder(server)) {
			retry(order, retryMs);
			return;
		}
		EngineClient client = this.context.clients().apply(server);
		long fencing = this.context.blackboard().control().get().engineOwnership(order.engine()).epoch();
		client.releaseSession(order.session(), fencing)
			.handle((done, thrown) -> thrown == null)
			.thenCompose((sent) -> isGone(client, order))
			.whenComplete((gone, thrown) -> {
				if (thrown == null && gone) {
					this.pending.remove(order);
					return;
				}
				logger.atInfo().log("session %s is not yet released on %s", order.session(), order.engine());
				retry(order, retryMs);
			});
	}

	private CompletableFuture<Boolean> isGone(EngineClient client, Pending order) {
		return client.listSessions().thenApply((sessions) -> !sessions.contains(order.session()));
	}

	private void retry(Pending order, long retryMs) {
		long next = Math.min(MAX_RETRY_MS, retryMs * 2);
		this.context.scheduler()
			.schedule(() -> this.context.executor().execute(() -> attempt(order, next)), retryMs,
					TimeUnit.MILLISECONDS);
	}

	private boolean mayOrder(BackendServer server) {
		if (!this.leaseValid.getAsBoolean()) {
			return false;
		}
		if (server.checksFencing()) {
			return true;
		}
		Ownership holder = this.context.blackboard().control().get().engineOwnership(server.name());
		return holder.epoch() <= 1 || !this.context.clock().instant().isBefore(holder.since().plus(PREVIOUS_LEASE));
	}

	private record Pending(String engine, String session) {
	}

}

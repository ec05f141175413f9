package org.hemlockgw.daemon.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Executor of one simulated daemon, which can be paused and crashed.
 */
public final class SimProcess extends AbstractExecutorService implements ScheduledExecutorService {

	private final Simulation simulation;

	private final List<Runnable> held = new ArrayList<>();

	private boolean paused;

	private boolean crashed;

	public SimProcess(Simulation simulation) {
		this.simulation = simulation;
	}

	public void pause() {
		this.paused = true;
	}

	/** Runs what came in while the daemon was paused. */
	public void resume() {
		this.paused = false;
		List<Runnable> due = List.copyOf(this.held);
		this.held.clear();
		due.forEach(this::deliver);
	}

	public void crash() {
		this.crashed = true;
		this.held.clear();
	}

	void deliver(Runnable action) {
		if (this.crashed) {
			return;
		}
		if (this.paused) {
			this.held.add(action);
		}
		else {
			action.run();
		}
	}

	@Override
	public void execute(Runnable command) {
		this.simulation.after(0, () -> deliver(command));
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
		return schedule(Executors.callable(command), delay, unit);
	}

	@Override
	public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
		Timer<V> timer = new Timer<>(callable);
		this.simulation.after(unit.toNanos(delay), () -> deliver(timer));
		return timer;
	}

	@Override
	public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long first, long period, TimeUnit unit) {
		Timer<?> timer = new Timer<>(() -> true);
		repeat(timer, command, unit.toNanos(first), unit.toNanos(period));
		return timer;
	}

	@Override
	public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long first, long delay, TimeUnit unit) {
		return scheduleAtFixedRate(command, first, delay, unit);
	}

	private void repeat(Timer<?> timer, Runnable command, long delay, long period) {
		this.simulation.after(delay, () -> deliver(() -> {
			if (!timer.isCancelled()) {
				command.run();
				repeat(timer, command, period, period);
			}
		}));
	}

	@Override
	public void shutdown() {
		crash();
	}

	@Override
	public List<Runnable> shutdownNow() {
		crash();
		return List.of();
	}

	@Override
	public boolean isShutdown() {
		return this.crashed;
	}

	@Override
	public boolean isTerminated() {
		return this.crashed;
	}

	@Override
	public boolean awaitTermination(long timeout, TimeUnit unit) {
		return true;
	}

	/**
	 * A timer that can be cancelled.
	 */
	private static final class Timer<V> extends FutureTask<V> implements ScheduledFuture<V> {

		private Timer(Callable<V> command) {
			super(command);
		}

		@Override
		protected void setException(Throwable thrown) {
			throw new AssertionError("a timer failed", thrown);
		}

		@Override
		public long getDelay(TimeUnit unit) {
			return 0;
		}

		@Override
		public int compareTo(Delayed other) {
			return 0;
		}

	}

}

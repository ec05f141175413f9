package org.hemlockgw.daemon;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Threads of a daemon.
 *
 * @param scheduler timers and controllers
 * @param worker work that may block; grows with the requests in flight
 * @param eventLoops connections between daemons
 */
record DaemonThreads(ScheduledThreadPoolExecutor scheduler, ExecutorService worker,
		EventLoopGroup eventLoops) implements AutoCloseable {

	private static final int SCHEDULER_THREADS = 4;

	private static final int EVENT_LOOP_THREADS = 2;

	static DaemonThreads create() {
		ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(SCHEDULER_THREADS, named("scheduler"));
		// Each request sets timers of minutes that it cancels within seconds.
		scheduler.setRemoveOnCancelPolicy(true);
		return new DaemonThreads(scheduler, Executors.newCachedThreadPool(named("worker")),
				new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, named("peer"), NioIoHandler.newFactory()));
	}

	private static ThreadFactory named(String prefix) {
		AtomicInteger count = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, prefix + "-" + count.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.worker.shutdownNow();
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}

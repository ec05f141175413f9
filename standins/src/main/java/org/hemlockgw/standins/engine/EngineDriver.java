package org.hemlockgw.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.platform.EngineLoadReport;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.http.Switches;

/**
 * Runs an {@link EngineModel} in real time on one thread and hands its tokens to the
 * streams.
 */
final class EngineDriver implements AutoCloseable {

	/** Finished streams kept for resumption. */
	private static final int MAX_FINISHED_STREAMS = 2_000;

	private static final long IDLE_WAIT_NS = 1_000_000_000L;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final EngineModel model;

	private final EngineOptions options;

	private final Switches<EngineSwitches> switches;

	private final Map<String, EngineStream> streams = new LinkedHashMap<>();

	private final CacheEventFeed cacheEvents = new CacheEventFeed();

	private final LoadHistory load;

	private final Thread thread;

	private boolean closed;

	EngineDriver(EngineOptions options, Switches<EngineSwitches> switches) {
		this.options = options;
		this.switches = switches;
		this.model = new EngineModel(options);
		this.load = new LoadHistory(options.cacheTokens());
		this.thread = new Thread(this::loop, "engine-model");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	/**
	 * Starts a request.
	 * @param stream its stream, not yet known to the driver
	 */
	void submit(EngineStream stream) {
		String id = stream.job().id();
		this.lock.lock();
		try {
			EngineStream old = this.streams.get(id);
			if (old != null && old.running()) {
				throw new HttpRejection(409, "request '" + id + "' is already running");
			}
			this.streams.remove(id);
			this.streams.put(id, stream);
			this.model.submit(stream.job(), System.nanoTime());
			forgetOldStreams();
			this.changed.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	@Nullable EngineStream find(String id) {
		this.lock.lock();
		try {
			return this.streams.get(id);
		}
		finally {
			this.lock.unlock();
		}
	}

	boolean cancel(String id) {
		return apply((now) -> {
			EngineStream stream = this.streams.remove(id);
			if (stream == null) {
				return false;
			}
			this.model.cancel(id, now);
			stream.lose();
			return true;
		});
	}

	/** Loses all streams and the cache. */
	void crash() {
		apply((now) -> {
			this.model.reset(now);
			this.streams.values().forEach(EngineStream::lose);
			this.streams.clear();
			return true;
		});
	}

	/**
	 * Applies an action to the model.
	 * @param <T> type of the result
	 * @param action receives the time in nanoseconds
	 * @return its result
	 */
	<T> T apply(Function<Long, T> action) {
		this.lock.lock();
		try {
			T result = action.apply(System.nanoTime());
			publish();
			this.changed.signal();
			return result;
		}
		finally {
			this.lock.unlock();
		}
	}

	EngineModel model() {
		return this.model;
	}

	CacheEventFeed cacheEvents() {
		return this.cacheEvents;
	}

	LoadHistory load() {
		return this.load;
	}

	@Override
	public void close() {
		crash();
		this.lock.lock();
		try {
			this.closed = true;
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void loop() {
		this.lock.lock();
		try {
			while (!this.closed) {
				publish();
				OptionalLong next = this.model.nextNs();
				long waitNs = next.isPresent() ? next.getAsLong() - System.nanoTime() : IDLE_WAIT_NS;
				if (waitNs > 0) {
					this.changed.awaitNanos(waitNs);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void publish() {
		long now = System.nanoTime();
		this.model.setSpeedFactor(this.switches.get().speedFactor());
		for (EngineProgress progress : this.model.advance(now)) {
			EngineStream stream = this.streams.get(progress.jobId());
			if (stream != null) {
				stream.add(progress);
			}
		}
		for (CacheChange change : this.model.drainCacheChanges()) {
			this.cacheEvents.add(change, now, this.switches.get().cacheEventGapEvery());
		}
		EngineStats stats = this.model.stats(now);
		this.load.add(
				new EngineLoadReport(stats.running(), stats.waiting(), stats.heldTokens(), this.options.cacheTokens()),
				now);
	}

	private void forgetOldStreams() {
		if (this.streams.size() <= MAX_FINISHED_STREAMS) {
			return;
		}
		Iterator<EngineStream> oldestFirst = this.streams.values().iterator();
		while (oldestFirst.hasNext() && this.streams.size() > MAX_FINISHED_STREAMS) {
			if (!oldestFirst.next().running()) {
				oldestFirst.remove();
			}
		}
	}

	/**
	 * Returns the sessions that hold cache memory.
	 * @return names of the sessions
	 */
	List<String> sessions() {
		return apply((now) -> new ArrayList<>(this.model.sessions()));
	}

}

package org.hemlockgw.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Time and cache of an engine with continuous batching, without I/O, threads or a clock
 * of its own. A step of the batch computes a chunk of prompt tokens and one answer token
 * of each request that is past its prompt. Not safe for use by several threads.
 */
public final class EngineModel {

	private static final double NS_PER_SECOND = 1e9;

	private final EngineOptions options;

	private final PrefixCache cache;

	private final Map<String, EngineJob> waiting = new LinkedHashMap<>();

	private final Map<String, Running> batch = new LinkedHashMap<>();

	private final List<EngineProgress> progress = new ArrayList<>();

	private double speedFactor = 1;

	private boolean stepping;

	private long stepEndNs;

	private long admitted;

	private long finished;

	private long promptTokens;

	private long cachedTokens;

	private long generatedTokens;

	public EngineModel(EngineOptions options) {
		this.options = options;
		this.cache = new PrefixCache(options.cacheTokens());
	}

	/**
	 * Takes a request into the waiting list.
	 * @param job the request; its identifier must not be in use
	 * @param nowNs the time, never before an earlier one
	 */
	public void submit(EngineJob job, long nowNs) {
		run(nowNs);
		if (this.waiting.containsKey(job.id()) || this.batch.containsKey(job.id())) {
			throw new IllegalArgumentException("job id must not be in use, was '" + job.id() + "'");
		}
		this.waiting.put(job.id(), job);
		this.admitted++;
		startStepIfIdle(nowNs);
	}

	/**
	 * Drops a request. What it has computed stays in the cache.
	 * @param id request identifier
	 * @param nowNs the time
	 * @return whether the request was waiting or running
	 */
	public boolean cancel(String id, long nowNs) {
		run(nowNs);
		if (this.waiting.remove(id) != null) {
			return true;
		}
		Running running = this.batch.remove(id);
		if (running == null) {
			return false;
		}
		this.cache.unpin(running.job.session());
		return true;
	}

	/**
	 * Runs all steps that end by a time.
	 * @param nowNs the time
	 * @return the tokens generated since the last call, in order of time
	 */
	public List<EngineProgress> advance(long nowNs) {
		run(nowNs);
		List<EngineProgress> drained = List.copyOf(this.progress);
		this.progress.clear();
		return drained;
	}

	/**
	 * Returns when the current step ends.
	 * @return the time at which {@link #advance} has something to do; empty when idle
	 */
	public OptionalLong nextNs() {
		return this.stepping ? OptionalLong.of(this.stepEndNs) : OptionalLong.empty();
	}

	/**
	 * Changes the speed from the next step on.
	 * @param factor multiple of the configured speeds, above 0
	 */
	public void setSpeedFactor(double factor) {
		if (!(factor > 0)) {
			throw new IllegalArgumentException("speed_factor must be above 0, was " + factor);
		}
		this.speedFactor = factor;
	}

	/**
	 * Drops a session's cache entry, at the end of its running request if there is one.
	 * @param session cache session
	 * @param nowNs the time
	 * @return whether the session was held
	 */
	public boolean release(String session, long nowNs) {
		run(nowNs);
		boolean released = this.cache.release(session);
		startStepIfIdle(nowNs);
		return released;
	}

	/**
	 * Returns the size of a session's cache entry.
	 * @param session cache session
	 * @param nowNs the time
	 * @return tokens held, 0 when unknown
	 */
	public long sessionTokens(String session, long nowNs) {
		run(nowNs);
		return this.cache.tokens(session);
	}

	/**
	 * Loads a cache entry that was exported elsewhere.
	 * @param session cache session
	 * @param tokens size of the entry
	 * @param nowNs the time
	 * @return whether there was room for it
	 */
	public boolean load(String session, long tokens, long nowNs) {
		run(nowNs);
		return this.cache.load(session, tokens);
	}

	/**
	 * Loses all requests and the cache, as in a crash.
	 * @param nowNs the time
	 */
	public void reset(long nowNs) {
		run(nowNs);
		this.waiting.clear();
		this.batch.clear();
		this.progress.clear();
		this.cache.clear();
		this.stepping = false;
	}

	public List<String> sessions() {
		return this.cache.sessions();
	}

	/**
	 * Returns the changes of the cache since the last call.
	 * @return the changes in order
	 */
	public List<CacheChange> drainCacheChanges() {
		return this.cache.drainChanges();
	}

	public int running() {
		return this.batch.size();
	}

	public int waiting() {
		return this.waiting.size();
	}

	/**
	 * Returns the counters.
	 * @param nowNs the time
	 * @return counters up to that time
	 */
	public EngineStats stats(long nowNs) {
		run(nowNs);
		return new EngineStats(this.admitted, this.finished, this.promptTokens, this.cachedTokens,
				this.cache.recomputed(), this.generatedTokens, this.cache.heldTokenSeconds(),
				this.cache.idleTokenSeconds(), this.cache.evictions(), this.batch.size(), this.waiting.size(),
				this.cache.held());
	}

	private void run(long nowNs) {
		while (this.stepping && this.stepEndNs <= nowNs) {
			this.cache.accrue(this.stepEndNs);
			finishStep();
			this.stepping = false;
			startStepIfIdle(this.stepEndNs);
		}
		this.cache.accrue(nowNs);
	}

	private void startStepIfIdle(long nowNs) {
		if (this.stepping) {
			return;
		}
		admit();
		if (this.batch.isEmpty()) {
			return;
		}
		long prefill = 0;
		long decode = 0;
		for (Running r : this.batch.values()) {
			r.decodes = r.prefillLeft == 0;
			r.chunk = Math.min(r.prefillLeft, this.options.prefillChunkTokens() - prefill);
			prefill += r.chunk;
			decode += r.decodes ? 1 : 0;
		}
		double seconds = prefill / this.options.prefillTokensPerS() + decode / this.options.decodeTokensPerS();
		this.stepEndNs = nowNs + Math.max(1, Math.round(seconds / this.speedFactor * NS_PER_SECOND));
		this.stepping = true;
	}

	private void admit() {
		Iterator<EngineJob> jobs = this.waiting.values().iterator();
		while (this.batch.size() < this.options.maxBatch() && jobs.hasNext()) {
			EngineJob job = jobs.next();
			long cached = this.cache.pin(job.session(), job.promptTokens(), job.totalTokens());
			if (cached == PrefixCache.NO_ROOM) {
				return;
			}
			jobs.remove();
			this.batch.put(job.id(), new Running(job, cached));
			this.promptTokens += job.promptTokens();
			this.cachedTokens += cached;
		}
	}

	private void finishStep() {
		Iterator<Running> running = this.batch.values().iterator();
		while (running.hasNext()) {
			Running r = running.next();
			r.prefillLeft -= r.chunk;
			boolean prefilled = r.chunk > 0 && r.prefillLeft == 0;
			if (r.decodes || prefilled) {
				generate(r);
			}
			this.cache.hold(r.job.session(), r.position());
			if (r.nextIndex == r.job.maxTokens()) {
				running.remove();
				this.finished++;
				this.cache.unpin(r.job.session());
			}
		}
	}

	private void generate(Running r) {
		boolean last = r.nextIndex + 1 == r.job.maxTokens();
		this.progress.add(new EngineProgress(r.job.id(), this.stepEndNs, r.nextIndex, r.cachedTokens, last));
		r.nextIndex++;
		this.generatedTokens++;
	}

	private static final class Running {

		private final EngineJob job;

		private final long cachedTokens;

		private long prefillLeft;

		private long nextIndex;

		private long chunk;

		private boolean decodes;

		Running(EngineJob job, long cachedTokens) {
			this.job = job;
			this.cachedTokens = cachedTokens;
			this.prefillLeft = job.promptTokens() - cachedTokens;
			this.nextIndex = job.firstOffset();
		}

		long position() {
			return this.job.promptTokens() - this.prefillLeft + this.nextIndex - this.job.firstOffset();
		}

	}

}

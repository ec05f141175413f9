package org.hemlockgw.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static com.google.common.truth.Truth.assertThat;

class EngineModelTests {

	private static final long SECOND_NS = 1_000_000_000L;

	private final EngineModel model = new EngineModel(options(4, 1_000));

	private long lastNs;

	@Example
	void prefillAndDecodeTakeTheConfiguredTime() {
		this.model.submit(new EngineJob("a", "s", 200, 0, 11), 0);
		List<EngineProgress> tokens = runToEnd();
		// 200 prompt tokens at 1000 a second, then 10 tokens at 100 a second.
		assertThat(tokens.get(0).atNs()).isEqualTo(SECOND_NS / 5);
		assertThat(tokens.get(10).atNs()).isEqualTo(SECOND_NS * 3 / 10);
		assertThat(tokens.get(10).last()).isTrue();
	}

	@Example
	void theBatchSharesTheDecodeSpeed() {
		this.model.submit(new EngineJob("a", "s", 1, 0, 11), 0);
		this.model.submit(new EngineJob("b", "t", 1, 0, 11), 0);
		List<EngineProgress> tokens = runToEnd();
		assertThat(tokens).hasSize(22);
		long end = tokens.get(21).atNs();
		// 20 decoded tokens at 100 a second and 2 prompt tokens.
		assertThat(end).isEqualTo(SECOND_NS * 202 / 1000);
	}

	@Example
	void requestsBeyondTheBatchLimitWaitInOrder() {
		for (int i = 0; i < 6; i++) {
			this.model.submit(new EngineJob("j" + i, "s" + i, 10, 0, 5), 0);
		}
		this.model.advance(SECOND_NS / 50);
		assertThat(this.model.running()).isEqualTo(4);
		assertThat(this.model.waiting()).isEqualTo(2);
		List<String> order = new ArrayList<>();
		runToEnd().stream().filter(EngineProgress::last).forEach((p) -> order.add(p.jobId()));
		assertThat(order).containsExactly("j0", "j1", "j2", "j3", "j4", "j5").inOrder();
	}

	@Example
	void theLeastRecentlyUsedIdleSessionIsEvictedAndItsTokensCountAsRecomputed() {
		run("a", "s1", 400);
		run("b", "s2", 400);
		run("c", "s1", 500);
		run("d", "s3", 300);
		assertThat(this.model.sessions()).containsExactly("s1", "s3").inOrder();
		assertThat(this.model.stats(now()).recomputedTokens()).isEqualTo(0);
		run("e", "s2", 500);
		EngineStats stats = this.model.stats(now());
		// Each of these sessions had held 400 prompt and 2 answer tokens.
		assertThat(stats.recomputedTokens()).isEqualTo(402);
		assertThat(stats.cachedTokens()).isEqualTo(402);
		assertThat(stats.evictions()).isEqualTo(2);
	}

	@Example
	void aRunningSessionIsReleasedAtTheEndOfItsRequest() {
		this.model.submit(new EngineJob("a", "s", 100, 0, 50), 0);
		assertThat(this.model.release("s", SECOND_NS / 5)).isTrue();
		assertThat(this.model.sessions()).containsExactly("s");
		runToEnd();
		assertThat(this.model.sessions()).isEmpty();
		assertThat(this.model.drainCacheChanges()).containsExactly(new CacheChange("s", 0));
	}

	@Example
	void tokenSecondsCountIdleSessionsSeparately() {
		this.model.load("s", 100, 0);
		EngineStats idle = this.model.stats(10 * SECOND_NS);
		assertThat(idle.heldTokenSeconds()).isWithin(1e-6).of(1000);
		assertThat(idle.idleTokenSeconds()).isWithin(1e-6).of(1000);
		this.model.submit(new EngineJob("a", "s", 101, 0, 101), 10 * SECOND_NS);
		EngineStats busy = this.model.stats(11 * SECOND_NS);
		assertThat(busy.idleTokenSeconds()).isWithin(1e-6).of(1000);
		assertThat(busy.heldTokenSeconds()).isGreaterThan(1100.0);
	}

	@Example
	void aRequestLargerThanTheCacheRunsAlone() {
		this.model.submit(new EngineJob("a", "s", 2_000, 0, 5), 0);
		this.model.submit(new EngineJob("b", "t", 10, 0, 5), 0);
		this.model.advance(SECOND_NS);
		assertThat(this.model.running()).isEqualTo(1);
		assertThat(runToEnd().stream().filter(EngineProgress::last).count()).isEqualTo(2);
	}

	@Example
	void aCancelledRequestGivesItsPlaceToTheNext() {
		for (int i = 0; i < 5; i++) {
			this.model.submit(new EngineJob("j" + i, "s" + i, 10, 0, 20), 0);
		}
		assertThat(this.model.cancel("j0", SECOND_NS / 50)).isTrue();
		assertThat(this.model.cancel("j0", SECOND_NS / 50)).isFalse();
		assertThat(runToEnd().stream().filter(EngineProgress::last).count()).isEqualTo(4);
	}

	@Example
	void aCrashLosesRequestsAndCacheButNotTheCounters() {
		run("a", "s", 100);
		this.model.submit(new EngineJob("b", "t", 10, 0, 20), now());
		this.model.reset(now());
		assertThat(this.model.nextNs().isPresent()).isFalse();
		assertThat(this.model.sessions()).isEmpty();
		assertThat(this.model.stats(now()).heldTokens()).isEqualTo(0);
		run("c", "s", 100);
		assertThat(this.model.stats(now()).recomputedTokens()).isEqualTo(99);
	}

	@Property(seed = "7", tries = 300)
	void everyRequestGetsEachTokenOnceAndMemoryStaysWithinItsLimit(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 9_999) Integer> seeds) {
		EngineModel engine = new EngineModel(options(4, 600));
		Map<String, Long> expected = new HashMap<>();
		Map<String, Long> next = new HashMap<>();
		long now = 0;
		for (int i = 0; i < seeds.size(); i++) {
			int seed = seeds.get(i);
			EngineJob job = new EngineJob("j" + i, "s" + seed % 7, 1 + seed % 300, seed % 3, seed % 3 + 1 + seed % 50);
			expected.put(job.id(), job.maxTokens());
			next.put(job.id(), job.firstOffset());
			engine.submit(job, now);
			now += (seed % 11) * SECOND_NS / 100;
			check(engine, engine.advance(now), next);
		}
		while (engine.nextNs().isPresent()) {
			now = engine.nextNs().getAsLong();
			check(engine, engine.advance(now), next);
		}
		assertThat(next).isEqualTo(expected);
		assertThat(engine.stats(now).requestsFinished()).isEqualTo(seeds.size());
	}

	private static void check(EngineModel engine, List<EngineProgress> tokens, Map<String, Long> next) {
		for (EngineProgress p : tokens) {
			assertThat(next.get(p.jobId())).isEqualTo(p.index());
			next.put(p.jobId(), p.index() + 1);
		}
		EngineStats stats = engine.stats(0);
		assertThat(stats.heldTokens()).isAtMost(600);
		assertThat(stats.heldTokens()).isAtLeast(0);
		assertThat(stats.running()).isAtMost(4);
	}

	private void run(String id, String session, long promptTokens) {
		this.model.submit(new EngineJob(id, session, promptTokens, 0, 2), now());
		runToEnd();
	}

	private List<EngineProgress> runToEnd() {
		List<EngineProgress> tokens = new ArrayList<>();
		while (this.model.nextNs().isPresent()) {
			this.lastNs = this.model.nextNs().getAsLong();
			tokens.addAll(this.model.advance(this.lastNs));
		}
		return tokens;
	}

	private long now() {
		return this.lastNs;
	}

	private static EngineOptions options(int maxBatch, long cacheTokens) {
		return new EngineOptions(1_000, 100, maxBatch, cacheTokens, 64, 0, "", true);
	}

}

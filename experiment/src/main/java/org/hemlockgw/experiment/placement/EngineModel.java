package org.hemlockgw.experiment.placement;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;

import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.ResponseTiming;

/**
 * Engine with batched generation, chunked reading of prompts and a memory in tokens that
 * running requests share with cached prompt parts. If memory runs out, the newest request
 * is preempted and read again.
 */
final class EngineModel {

	static final double STEP_MS = 2.77;

	static final double PREFILL_TOKENS_PER_MS = 85.2;

	static final int SLOTS = 6;

	static final int MEMORY_TOKENS = 65_399;

	static final int TOKENS_PER_EVENT = 8;

	private static final int CHUNK_TOKENS = 512;

	private static final double FULL_LOAD_SLOWDOWN = 0.25;

	private final EventLoopModel loop;

	private final double speed;

	private final DoubleUnaryOperator slowdown;

	private final Set<String> everRead;

	private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);

	private final List<Run> running = new ArrayList<>();

	private long cachedTokens;

	private long rereadTokens;

	private long readTokens;

	private int preemptions;

	private long requests;

	private boolean stepping;

	/**
	 * Creates an idle engine.
	 * @param loop virtual time
	 * @param speed relative speed
	 * @param slowdown factor of the step time at a time in milliseconds
	 * @param everRead parts that some engine has read; shared by all engines
	 */
	EngineModel(EventLoopModel loop, double speed, DoubleUnaryOperator slowdown, Set<String> everRead) {
		this.loop = loop;
		this.speed = speed;
		this.slowdown = slowdown;
		this.everRead = everRead;
	}

	void start(List<PromptPart> prompt, int outputTokens, Consumer<ResponseTiming> completed) {
		this.requests++;
		Run run = new Run(prompt, outputTokens, this.loop.nowMs(), completed);
		this.running.add(run);
		run.toRead = countToRead(run);
		if (!this.stepping) {
			this.stepping = true;
			step();
		}
	}

	private int countToRead(Run run) {
		int total = 0;
		boolean cached = true;
		for (PromptPart part : run.prompt) {
			cached = cached && this.cache.containsKey(part.id());
			if (!cached) {
				total += part.tokens();
				this.rereadTokens += this.everRead.contains(part.id()) ? part.tokens() : 0;
			}
		}
		this.readTokens += total;
		return total;
	}

	private void step() {
		preemptIfFull();
		double factor = this.slowdown.applyAsDouble(this.loop.nowMs()) / this.speed;
		double durationMs = STEP_MS * (1 + FULL_LOAD_SLOWDOWN * (this.running.size() - 1) / SLOTS) * factor;
		int chunk = CHUNK_TOKENS;
		List<Run> generating = new ArrayList<>();
		for (Run run : this.running) {
			if (run.toRead == 0) {
				generating.add(run);
				continue;
			}
			int tokens = Math.min(chunk, run.toRead);
			run.toRead -= tokens;
			chunk -= tokens;
			durationMs += tokens / PREFILL_TOKENS_PER_MS * factor;
		}
		this.loop.schedule(this.loop.nowMs() + durationMs, () -> endStep(generating));
	}

	private void endStep(List<Run> generating) {
		List<Run> completed = new ArrayList<>();
		for (Run run : this.running) {
			if (run.toRead == 0 && !run.cached) {
				run.cached = true;
				keep(run.prompt);
			}
		}
		for (Run run : generating) {
			run.generated++;
			if (run.generated % TOKENS_PER_EVENT == 0 || run.generated == run.outputTokens) {
				run.recordEvent(this.loop.nowMs());
			}
			if (run.generated >= run.outputTokens) {
				completed.add(run);
			}
		}
		this.running.removeAll(completed);
		this.stepping = !this.running.isEmpty();
		if (this.stepping) {
			step();
		}
		completed.forEach((run) -> run.completed.accept(run.timing()));
	}

	private void keep(List<PromptPart> prompt) {
		for (int i = prompt.size() - 1; i >= 0; i--) {
			PromptPart part = prompt.get(i);
			this.everRead.add(part.id());
			if (this.cache.put(part.id(), part.tokens()) == null) {
				this.cachedTokens += part.tokens();
			}
		}
		int generated = this.running.stream().mapToInt((run) -> run.generated).sum();
		Iterator<Integer> oldest = this.cache.values().iterator();
		while (this.cachedTokens + generated > MEMORY_TOKENS && oldest.hasNext()) {
			this.cachedTokens -= oldest.next();
			oldest.remove();
		}
	}

	private void preemptIfFull() {
		while (this.running.size() > 1 && this.running.stream().mapToInt(Run::tokens).sum() > MEMORY_TOKENS) {
			Run newest = this.running.remove(this.running.size() - 1);
			this.preemptions++;
			newest.toRead = newest.tokens();
			this.rereadTokens += newest.toRead;
			this.readTokens += newest.toRead;
			double retryMs = this.loop.nowMs() + 20;
			this.loop.schedule(retryMs, () -> resume(newest));
		}
	}

	private void resume(Run run) {
		this.running.add(run);
		if (!this.stepping) {
			this.stepping = true;
			step();
		}
	}

	long rereadTokens() {
		return this.rereadTokens;
	}

	long readTokens() {
		return this.readTokens;
	}

	int preemptions() {
		return this.preemptions;
	}

	long requests() {
		return this.requests;
	}

	double speed() {
		return this.speed;
	}

	private static final class Run {

		private static final double MICROS_PER_MS = 1000;

		private final List<PromptPart> prompt;

		private final int outputTokens;

		private final double startedMs;

		private final Consumer<ResponseTiming> completed;

		private int toRead;

		private boolean cached;

		private int generated;

		private int events;

		private double firstEventMs;

		private double lastEventMs;

		Run(List<PromptPart> prompt, int outputTokens, double startedMs, Consumer<ResponseTiming> completed) {
			this.prompt = prompt;
			this.outputTokens = outputTokens;
			this.startedMs = startedMs;
			this.completed = completed;
		}

		int tokens() {
			return this.prompt.stream().mapToInt(PromptPart::tokens).sum() + this.generated;
		}

		void recordEvent(double nowMs) {
			this.firstEventMs = (this.events == 0) ? nowMs : this.firstEventMs;
			this.lastEventMs = nowMs;
			this.events++;
		}

		ResponseTiming timing() {
			double gapMs = (this.events > 1) ? (this.lastEventMs - this.firstEventMs) / (this.events - 1) : 0;
			return new ResponseTiming(this.events, (int) (MICROS_PER_MS * (this.firstEventMs - this.startedMs)),
					(int) (MICROS_PER_MS * gapMs));
		}

	}

}

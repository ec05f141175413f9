package org.hemlockgw.experiment.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.sun.management.OperatingSystemMXBean;

/**
 * Repeats a measurement after a warm-up and takes the median.
 */
final class Measure {

	private static final long MIN_SAMPLE_NS = 2_000_000;

	private static final int COLLECTIONS = 2;

	private final int repetitions;

	private final long warmUpNs;

	Measure(int repetitions, long warmUpMs) {
		this.repetitions = repetitions;
		this.warmUpNs = warmUpMs * 1_000_000;
	}

	/**
	 * Measures the processor time of one run on this thread, which other processes on a
	 * shared machine disturb less than the elapsed time.
	 * @param work the work
	 * @return median over samples of at least 2 ms, in microseconds
	 */
	double cpuUs(Runnable work) {
		return timeUs(work, Measure::threadCpuNs);
	}

	/**
	 * Measures the elapsed time of one run.
	 * @param work the work
	 * @return median over samples of at least 2 ms, in microseconds
	 */
	double elapsedUs(Runnable work) {
		return timeUs(work, System::nanoTime);
	}

	private double timeUs(Runnable work, LongSupplier clockNs) {
		long start = clockNs.getAsLong();
		long runs = 0;
		while (runs == 0 || clockNs.getAsLong() - start < this.warmUpNs) {
			work.run();
			runs++;
		}
		long perRunNs = Math.max(1, (clockNs.getAsLong() - start) / runs);
		long batch = Math.max(1, MIN_SAMPLE_NS / perRunNs);
		return median(() -> {
			long from = clockNs.getAsLong();
			for (long i = 0; i < batch; i++) {
				work.run();
			}
			return (clockNs.getAsLong() - from) / 1000.0 / batch;
		});
	}

	/**
	 * Measures the memory that objects keep after a garbage collection. The serial
	 * collector leaves dead objects in place in most full collections, which gives
	 * figures of 0, so this needs another one.
	 * @param create creates the objects
	 * @return median in bytes
	 */
	double retainedBytes(Supplier<Object> create) {
		Object warmUp = create.get();
		Reference.reachabilityFence(warmUp);
		return median(() -> {
			long before = usedBytes();
			Object kept = create.get();
			long after = usedBytes();
			Reference.reachabilityFence(kept);
			return after - before;
		});
	}

	double median(DoubleSupplier sample) {
		double[] samples = new double[this.repetitions];
		for (int i = 0; i < samples.length; i++) {
			samples[i] = sample.getAsDouble();
		}
		Arrays.sort(samples);
		return samples[samples.length / 2];
	}

	/**
	 * Returns the processor time of the whole process.
	 * @return nanoseconds since its start
	 */
	static long processCpuNs() {
		return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
	}

	/**
	 * Returns the processor time of the current thread.
	 * @return nanoseconds since its start
	 */
	static long threadCpuNs() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private static long usedBytes() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}

package org.hemlockgw.experiment.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.hemlockgw.core.common.ProgramId;

/**
 * Generates programs: Poisson arrivals, heavy-tailed numbers of turns and message
 * lengths, tool pauses and sub-agents.
 */
final class Workload {

	private static final double NS = 1e9;

	private static final int MAX_TURNS = 65;

	private static final double LONG_SESSION_SHARE = 0.1;

	private static final double SUB_AGENT_SHARE = 0.12;

	private static final int ACCOUNTS = 6;

	private final long seed;

	private Random random = new Random(0);

	private final double programsPerSecond;

	private final double seconds;

	private final double floodFactor;

	/**
	 * Creates a workload.
	 * @param seed seed of all random numbers
	 * @param programsPerSecond arrival rate of root programs
	 * @param seconds length of the arrival period
	 * @param floodFactor how many times its share account 0 offers
	 */
	Workload(long seed, double programsPerSecond, double seconds, double floodFactor) {
		this.seed = seed;
		this.programsPerSecond = programsPerSecond;
		this.seconds = seconds;
		this.floodFactor = floodFactor;
	}

	List<ProgramSpec> generate() {
		List<ProgramSpec> programs = new ArrayList<>();
		for (int account = 0; account < ACCOUNTS; account++) {
			// Each account has numbers of its own, so that a flood of one leaves the
			// programs of
			// the others as they are.
			this.random = new Random(this.seed * ACCOUNTS + account);
			double rate = this.programsPerSecond / ACCOUNTS * ((account == 0) ? this.floodFactor : 1);
			double at = exponential(1 / rate);
			for (int n = 0; at < this.seconds; n++) {
				programs.add(program(new ProgramId("account" + account, "p" + n), (long) (at * NS), turns(), true));
				at += exponential(1 / rate);
			}
		}
		return programs;
	}

	private ProgramSpec program(ProgramId id, long arrivalNs, int turnCount, boolean mayFork) {
		List<ProgramSpec.Turn> turns = new ArrayList<>();
		int child = 1;
		for (int i = 0; i < turnCount; i++) {
			boolean forks = mayFork && i + 1 < turnCount && this.random.nextDouble() < SUB_AGENT_SHARE;
			List<ProgramSpec> children = new ArrayList<>();
			int forked = forks ? 1 + this.random.nextInt(3) : 0;
			for (int c = 0; c < forked; c++) {
				children.add(program(id.child(child++), 0, 1 + this.random.nextInt(3), false));
			}
			int added = (int) lognormal((i == 0) ? 1_500 : 300, 1.0, 12_000);
			int answer = (int) lognormal(90, 0.8, 800);
			turns.add(new ProgramSpec.Turn(added, answer, (long) (lognormal(0.7, 0.9, 20) * NS), children));
		}
		return new ProgramSpec(id, arrivalNs, turns);
	}

	private int turns() {
		double mean = (this.random.nextDouble() < LONG_SESSION_SHARE) ? 28 : 5;
		return (int) Math.min(MAX_TURNS, 1 + exponential(mean));
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private double lognormal(double median, double sigma, double max) {
		return Math.max(1e-3, Math.min(max, median * Math.exp(sigma * this.random.nextGaussian())));
	}

}

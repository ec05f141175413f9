package org.hemlockgw.experiment.capacity;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.ControlStateBuilder;
import org.hemlockgw.core.membership.Assignment;
import org.hemlockgw.core.membership.MonitorSelection;
import org.hemlockgw.core.membership.OwnershipPlan;
import org.hemlockgw.core.membership.Vm;

/**
 * Time of the assignment, of the ownership plan and of the choice of monitored daemons.
 */
final class OwnershipSlope implements Slope {

	private static final int[] DAEMONS = { 12, 100, Samples.DAEMONS };

	@Override
	public String name() {
		return "ownership";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		Series assignment = Series.measure("ownership.assignment.daemons", "us", "daemons", DAEMONS, (n) -> {
			Cluster cluster = Cluster.of(n, Samples.ENGINES);
			return measure.cpuUs(() -> Assignment.of(cluster.state, cluster.vms.values(), null));
		});
		Series plan = Series.measure("ownership.plan.daemons", "us", "daemons", DAEMONS,
				(n) -> planUs(measure, Cluster.of(n, Samples.ENGINES)));
		Series byEngines = Series.measure("ownership.plan.engines", "us", "engines",
				new int[] { 12, 600, Samples.ENGINES }, (n) -> planUs(measure, Cluster.of(Samples.DAEMONS, n)));
		Series monitors = Series.measure("ownership.monitors.daemons", "us", "daemons", DAEMONS, (n) -> {
			Cluster cluster = Cluster.of(n, Samples.ENGINES);
			return measure
				.cpuUs(() -> MonitorSelection.targetsOf(Samples.daemon(0), cluster.state, cluster.vms.values()));
		});
		return List.of(assignment, plan, byEngines, monitors);
	}

	// The plan of an unchanged cluster, which the controller computes in each tick.
	private static double planUs(Measure measure, Cluster cluster) {
		Assignment assignment = Assignment.of(cluster.state, cluster.vms.values(), null);
		return measure.cpuUs(() -> {
			Assignment same = Assignment.of(cluster.state, cluster.vms.values(), assignment);
			OwnershipPlan.of(Samples.incarnation(0), cluster.state, cluster.vms, same, cluster.engines);
		});
	}

	private record Cluster(ControlState state, Map<String, Vm> vms, Map<String, String> engines) {

		static Cluster of(int daemons, int engines) {
			ControlStateBuilder fold = new ControlStateBuilder(ControlState.EMPTY);
			long offset = 0;
			for (ControlRecord record : Samples.control(daemons, ShardId.COUNT, engines)) {
				fold.apply(offset++, Instant.EPOCH, record);
			}
			Map<String, String> centres = new HashMap<>();
			for (int i = 0; i < engines; i++) {
				centres.put(Samples.engine(i), Samples.dataCentre(i));
			}
			return new Cluster(fold.state(), Samples.vms(daemons, engines), centres);
		}

	}

}

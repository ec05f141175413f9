package org.hemlockgw.core.blackboard;

import java.util.Map;

import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.membership.Vm;

/**
 * State shared between the components of a daemon. Each section is written by a single
 * controller.
 *
 * @param configuration current configuration, written by the configuration controller
 * @param vms VM list by VM name, written by the VM list controller
 * @param control ownership and quarantine state, written by the control stream controller
 * @param engineLoads last known load by engine name, written by the dispatcher and from
 * the results of calls
 */
public record Blackboard(Section<Configuration> configuration, Section<Map<String, Vm>> vms,
		Section<ControlState> control, Section<Map<String, EngineLoad>> engineLoads) {

	public static Blackboard create() {
		return new Blackboard(new Section<>(Configuration.EMPTY), new Section<>(Map.of()),
				new Section<>(ControlState.EMPTY), new Section<>(Map.of()));
	}

}

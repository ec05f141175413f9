package org.hemlockgw.daemon.entry;

import java.time.InstantSource;

import com.codahale.metrics.MetricRegistry;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.explain.RequestEventRecorder;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * What the entry uses of its daemon.
 *
 * @param blackboard configuration, VMs and ownership
 * @param programs the owners of all programs
 * @param tracing starts the entry's spans
 * @param journal records what happened to requests
 * @param clock the time
 * @param dataCentre data centre of this daemon
 * @param metrics request counts and times
 */
public record EntryContext(Blackboard blackboard, ProgramService programs, Tracing tracing,
		RequestEventRecorder journal, InstantSource clock, String dataCentre, MetricRegistry metrics) {
}

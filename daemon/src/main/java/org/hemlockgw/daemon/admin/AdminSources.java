package org.hemlockgw.daemon.admin;

import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.config.ConfigSnapshot;
import org.hemlockgw.daemon.trace.SpanStore;

/**
 * What the admin listener shows and triggers.
 *
 * @param incarnation current incarnation of this daemon
 * @param readiness whether this daemon may receive calls
 * @param metrics all metrics of this daemon
 * @param blackboard shared state of this daemon
 * @param journal events of the latest requests
 * @param spans latest finished spans
 * @param configuration document in force with its history; empty before the first
 * @param drain begins a graceful shutdown; called on a thread of its own, at most once
 */
public record AdminSources(Supplier<Incarnation> incarnation, Supplier<Readiness> readiness, MetricRegistry metrics,
		Blackboard blackboard, MemoryJournal journal, SpanStore spans, Supplier<Optional<ConfigSnapshot>> configuration,
		Runnable drain) {
}

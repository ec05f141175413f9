package org.hemlockgw.gateway.entry;

import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.net.HttpConnections;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.slots.SlotClient;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * What the handling of a caller's request needs.
 *
 * @param loop event loop
 * @param clock time of day
 * @param nanoClock time in nanoseconds since some beginning
 * @param wire names of headers
 * @param routes routes in force; null before a configuration is known
 * @param draining whether this daemon is stopping
 * @param membership holders of shards
 * @param owners owners of programs
 * @param slots slots at backend servers
 * @param servers connections to backend servers
 * @param crashing requests during which servers were lost
 * @param metrics counters
 */
public record Services(EventLoop loop, InstantSource clock, LongSupplier nanoClock, WireFormat wire,
		Supplier<@Nullable RoutingTable> routes, BooleanSupplier draining, Membership membership, OwnerClient owners,
		SlotClient slots, HttpConnections servers, CrashingRequests crashing, Metrics metrics) {
}

package org.hemlockgw.gateway.entry;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.ConfigurationProof;
import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.net.HttpConnections;
import org.hemlockgw.gateway.owner.Membership;
import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.quota.PermitClient;
import org.hemlockgw.gateway.slots.SlotClient;
import org.hemlockgw.gateway.telemetry.Metrics;

/**
 * Components shared by the handling of all callers' requests.
 *
 * @param loop event loop
 * @param clock wall clock
 * @param nanoClock monotonic clock in nanoseconds with an arbitrary origin
 * @param wireFormat format of HTTP headers
 * @param routes current routing table; null before a configuration is received
 * @param shutdown graceful shutdown of this daemon
 * @param membership assignment of shards to daemons
 * @param ownerClient client of the owners of programs
 * @param slotClient client of the schedulers of pools
 * @param serverConnections connections to backend servers
 * @param crashingRequests requests during which servers were lost
 * @param responseMemory memory for responses of backend servers
 * @param memoryBudget memory that is held for callers
 * @param metrics metrics of this daemon
 * @param proof proof that the configuration is the newest one
 * @param permits client of the holders of client accounts
 */
public record Services(EventLoop loop, InstantSource clock, LongSupplier nanoClock, WireFormat wireFormat,
		Supplier<@Nullable RoutingTable> routes, Shutdown shutdown, Membership membership, OwnerClient ownerClient,
		SlotClient slotClient, HttpConnections serverConnections, CrashingRequests crashingRequests,
		ResponseMemory responseMemory, MemoryBudget memoryBudget, Metrics metrics, ConfigurationProof proof,
		PermitClient permits) {
}

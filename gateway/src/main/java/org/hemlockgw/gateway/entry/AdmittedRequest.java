package org.hemlockgw.gateway.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.AccountScope;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.route.RequestKind;
import org.hemlockgw.core.route.Route;
import org.hemlockgw.gateway.peer.PeerMessage;

/**
 * Request of a caller for which route and client account are known.
 *
 * @param message the request as received
 * @param headers parsed headers
 * @param route its route
 * @param scope client account that it belongs to
 * @param pool name of the pool whose servers run it
 */
record AdmittedRequest(FullHttpRequest message, CallerRequest headers, Route route, AccountScope scope, String pool) {

	String id() {
		return this.headers.id();
	}

	boolean isTurn() {
		return this.route.kind() == RequestKind.STREAMING && this.route.retention() != null
				&& this.headers.program() != null;
	}

	/**
	 * Creates the request to the owner of the program.
	 * @param remainingMs time in milliseconds until the deadline
	 * @return the request, or null if this is not a turn of a program
	 */
	PeerMessage.@Nullable OpenTurn toOpenTurn(long remainingMs) {
		String program = this.headers.program();
		Duration retention = this.route.retention();
		if (this.route.kind() != RequestKind.STREAMING || retention == null || program == null) {
			return null;
		}
		long budget = (this.headers.tokenBudget() < 0) ? Long.MAX_VALUE / 2 : this.headers.tokenBudget();
		String previous = this.route.historyStored() ? this.headers.previousTurn() : null;
		return new PeerMessage.OpenTurn(this.scope.qualify(id()), this.scope.qualify(program),
				(previous != null) ? this.scope.qualify(previous) : null, budget, this.headers.maxTokens(),
				retention.toMillis(), Math.max(0, remainingMs));
	}

	SlotRequest toSlotRequest(String holder, boolean programStarted, Deadline deadline, Set<String> excluded,
			Set<String> connected) {
		return new SlotRequest(this.scope.qualify(id()), holder, this.scope.accountName(),
				this.headers.placementKey(this.route.kind()), this.route.name(),
				Objects.requireNonNullElse(this.headers.program(), ""), this.scope.priority(this.route.priority()),
				programStarted, this.headers.programRemainingMs(deadline), this.route.objective().toMillis(),
				deadline.remainingMs(), this.headers.prompt(), this.headers.maxTokens(), Set.copyOf(excluded),
				connected);
	}

	HttpRequest toServerRequest(WireFormat wireFormat, String server, Deadline deadline, ByteBuf body) {
		return wireFormat.toServerRequest(this.message, this.scope, server, Math.max(1, deadline.remainingMs()),
				body.readableBytes());
	}

	RequestContent content(byte[] bodyPrefix) {
		return new RequestContent(this.message, bodyPrefix, this.scope);
	}

}

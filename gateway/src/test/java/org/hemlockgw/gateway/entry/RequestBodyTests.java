package org.hemlockgw.gateway.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;

import org.hemlockgw.core.limit.ClientMemory;
import org.hemlockgw.core.limit.CloseCause;
import org.hemlockgw.core.limit.ConnectionGroup;
import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.core.limit.ProgressLimits;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RequestBody}.
 */
class RequestBodyTests {

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final int BODY_BYTES = 100 * 1024;

	private final MemoryBudget budget = new MemoryBudget(MAX_BODY_BYTES, MAX_BODY_BYTES, () -> 1,
			() -> ProgressLimits.of(Duration.ofSeconds(3), Duration.ofSeconds(15)));

	private final ConnectionGroup group = new ConnectionGroup(2);

	// Guards against a chunked body that holds memory for the largest permitted one
	// until its request ends, while others wait.
	@Test
	void completeChunkedBodyHoldsItsOwnSize() {
		Client client = open();
		Client waiting = open();
		RequestBody body = new RequestBody(this.budget, client.memory(), -1, MAX_BODY_BYTES);
		assertThat(body.append(Unpooled.wrappedBuffer(new byte[BODY_BYTES]))).isTrue();
		assertThat(this.budget.reserveLarge(client.memory(), body.largeCapacity())).isTrue();
		body.useLargeMemory(UnpooledByteBufAllocator.DEFAULT);
		assertThat(this.budget.reserveLarge(waiting.memory(), MAX_BODY_BYTES - BODY_BYTES)).isFalse();
		body.complete();
		assertThat(body.largeBytes()).isEqualTo(BODY_BYTES);
		assertThat(body.size()).isEqualTo(BODY_BYTES);
		assertThat(body.buffer().capacity()).isEqualTo(BODY_BYTES);
		assertThat(waiting.decisions).containsExactly(true);
		body.discard();
		assertThat(this.budget.heldBytes()).isEqualTo(MAX_BODY_BYTES - BODY_BYTES);
	}

	private Client open() {
		Client client = new Client();
		client.opened.add(Objects.requireNonNull(this.budget.open(this.group, client)));
		return client;
	}

	private static final class Client implements ClientMemory.Owner {

		private final List<ClientMemory> opened = new ArrayList<>();

		private final List<Boolean> decisions = new ArrayList<>();

		ClientMemory memory() {
			return this.opened.get(0);
		}

		@Override
		public void close(CloseCause cause) {
			throw new AssertionError("closed: " + cause);
		}

		@Override
		public void largeBodyDecided(boolean granted) {
			this.decisions.add(granted);
		}

		@Override
		public long unsentBytes() {
			return 0;
		}

	}

}

package org.hemlockgw.gateway.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.limit.ClientMemory;
import org.hemlockgw.core.limit.ClientMemory.Phase;
import org.hemlockgw.core.limit.MemoryBudget;

/**
 * Passes the bytes of a caller to the decoder only while no request is in progress. Some
 * bytes of later requests are read before that, because a caller that disconnects is
 * noticed only by reading; more than that stays in the socket.
 */
final class CallerGate extends ChannelInboundHandlerAdapter {

	/** Number of bytes of later requests after which reading stops. */
	private static final int MAX_HELD_BYTES = 16 * 1024;

	/**
	 * Memory per byte of a head that is incomplete: a short field takes 40 times its
	 * size.
	 */
	private static final int PARTIAL_HEAD_FACTOR = 40;

	/** Maximum memory in bytes of an incomplete head; the number of fields is limited. */
	private static final long MAX_PARTIAL_HEAD_BYTES = 128 * 1024;

	private final CallerConnection connection;

	private final MemoryBudget budget;

	private final ClientMemory memory;

	private @Nullable ChannelHandlerContext context;

	private @Nullable ByteBuf held;

	private long heldMemoryBytes;

	private long headBytes;

	private long headMemoryBytes;

	CallerGate(CallerConnection connection, MemoryBudget budget, ClientMemory memory) {
		this.connection = connection;
		this.budget = budget;
		this.memory = memory;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		ByteBuf bytes = (ByteBuf) msg;
		this.budget.recordReceived(this.memory, bytes.readableBytes());
		this.connection.bytesReceived();
		if (this.connection.isBusy() || this.held != null) {
			hold(ctx, bytes);
			return;
		}
		pass(ctx, bytes);
	}

	private void pass(ChannelHandlerContext ctx, ByteBuf bytes) {
		Phase phase = this.memory.phase();
		if (phase == Phase.NEW || phase == Phase.IDLE) {
			this.budget.enter(this.memory, Phase.HEAD);
		}
		if (this.memory.phase() == Phase.HEAD) {
			this.headBytes += bytes.readableBytes();
		}
		ctx.fireChannelRead(bytes);
		if (this.memory.phase() == Phase.HEAD && !reserveHead()) {
			ctx.close();
		}
	}

	// The memory of a complete head is counted with its request.
	private boolean reserveHead() {
		long wanted = Math.min(this.headBytes * PARTIAL_HEAD_FACTOR, MAX_PARTIAL_HEAD_BYTES) - this.headMemoryBytes;
		if (wanted <= 0) {
			return true;
		}
		if (!this.budget.reserve(this.memory, wanted)) {
			return false;
		}
		this.headMemoryBytes += wanted;
		return true;
	}

	/**
	 * Releases the memory of a head that has just been decoded; its request counts it.
	 */
	void headDecoded() {
		this.budget.release(this.memory, this.headMemoryBytes);
		this.headMemoryBytes = 0;
		this.headBytes = 0;
	}

	private void hold(ChannelHandlerContext ctx, ByteBuf bytes) {
		ByteBuf buffer = this.held;
		if (buffer == null) {
			buffer = Unpooled.buffer(bytes.readableBytes());
			this.held = buffer;
		}
		buffer.writeBytes(bytes);
		bytes.release();
		long missing = buffer.capacity() - this.heldMemoryBytes;
		if (missing > 0 && !this.budget.reserve(this.memory, missing)) {
			ctx.close();
			return;
		}
		this.heldMemoryBytes += Math.max(0, missing);
		this.connection.updateReading();
	}

	boolean isFull() {
		return this.held != null && this.held.readableBytes() > MAX_HELD_BYTES;
	}

	/**
	 * Passes the held bytes to the decoder.
	 * @return whether there were any
	 */
	boolean passHeld() {
		ByteBuf buffer = this.held;
		ChannelHandlerContext ctx = this.context;
		if (buffer == null || ctx == null) {
			return false;
		}
		this.held = null;
		this.budget.release(this.memory, this.heldMemoryBytes);
		this.heldMemoryBytes = 0;
		this.connection.updateReading();
		pass(ctx, buffer);
		ctx.fireChannelReadComplete();
		return true;
	}

	void discard() {
		if (this.held != null) {
			this.held.release();
			this.held = null;
		}
	}

}

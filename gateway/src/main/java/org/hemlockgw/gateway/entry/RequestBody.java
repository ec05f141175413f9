package org.hemlockgw.gateway.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

import org.hemlockgw.core.limit.ClientMemory;
import org.hemlockgw.core.limit.MemoryBudget;

/**
 * Body of a request while it is received. Its parts are merged into one buffer, because a
 * part may be a single byte. A large body has a direct buffer of its final size, which is
 * sent to servers without a copy.
 */
final class RequestBody {

	/** Initial size in bytes of the buffer for a body of unknown length. */
	private static final int INITIAL_BYTES = 512;

	private final MemoryBudget budget;

	private final ClientMemory memory;

	private final int maxBytes;

	private final boolean declared;

	/** Size that a buffer for a large body has. */
	private final int largeCapacity;

	private ByteBuf buffer;

	private long smallBytes;

	private long largeBytes;

	/**
	 * Creates an empty body.
	 * @param budget memory of the daemon
	 * @param memory memory of the connection
	 * @param declaredBytes declared length in bytes; negative if it is unknown
	 * @param maxBytes maximum length in bytes
	 */
	RequestBody(MemoryBudget budget, ClientMemory memory, long declaredBytes, int maxBytes) {
		this.budget = budget;
		this.memory = memory;
		this.maxBytes = maxBytes;
		this.declared = declaredBytes >= 0;
		this.largeCapacity = (declaredBytes < 0) ? maxBytes : (int) Math.min(declaredBytes, maxBytes);
		int initial = (declaredBytes < 0 || this.largeCapacity > MemoryBudget.MAX_SMALL_BODY_BYTES) ? INITIAL_BYTES
				: this.largeCapacity;
		this.buffer = (declaredBytes == 0) ? Unpooled.EMPTY_BUFFER : Unpooled.buffer(initial);
	}

	/**
	 * Appends a part.
	 * @param part the part; not released
	 * @return false if the body is larger than permitted; nothing is appended then
	 */
	boolean append(ByteBuf part) {
		if (part.readableBytes() > this.maxBytes - this.buffer.readableBytes()) {
			return false;
		}
		this.buffer.writeBytes(part, part.readerIndex(), part.readableBytes());
		return true;
	}

	int size() {
		return this.buffer.readableBytes();
	}

	/**
	 * Returns whether the body needs memory for a large body.
	 * @return whether it does and has none
	 */
	boolean needsLargeMemory() {
		return this.largeBytes == 0 && this.largeCapacity > MemoryBudget.MAX_SMALL_BODY_BYTES
				&& (this.declared || size() > MemoryBudget.MAX_SMALL_BODY_BYTES);
	}

	long largeCapacity() {
		return this.largeCapacity;
	}

	/**
	 * Moves the body to memory for a large body, which the budget has granted.
	 * @param allocator allocator of the buffer
	 */
	void useLargeMemory(ByteBufAllocator allocator) {
		this.largeBytes = this.largeCapacity;
		ByteBuf large = allocator.directBuffer(this.largeCapacity, this.largeCapacity);
		large.writeBytes(this.buffer, this.buffer.readerIndex(), size());
		this.buffer.release();
		this.buffer = large;
		this.budget.release(this.memory, this.smallBytes);
		this.smallBytes = 0;
	}

	/**
	 * Counts the memory of a small body.
	 * @return false if there is too little
	 */
	boolean reserveSmall() {
		int missing = (this.largeBytes > 0) ? 0 : (int) (this.buffer.capacity() - this.smallBytes);
		if (missing <= 0) {
			return true;
		}
		if (!this.budget.reserve(this.memory, missing)) {
			return false;
		}
		this.smallBytes += missing;
		return true;
	}

	/**
	 * Releases the memory that a complete body doesn't use. A body of unknown length has
	 * memory for the largest permitted one until then.
	 */
	void complete() {
		long unused = this.largeBytes - size();
		if (unused <= 0) {
			return;
		}
		this.buffer.capacity(size());
		this.largeBytes -= unused;
		this.budget.releaseLarge(this.memory, unused);
	}

	ByteBuf buffer() {
		return this.buffer;
	}

	long smallBytes() {
		return this.smallBytes;
	}

	long largeBytes() {
		return this.largeBytes;
	}

	/**
	 * Releases the body and its memory.
	 */
	void discard() {
		this.buffer.release();
		this.buffer = Unpooled.EMPTY_BUFFER;
		this.budget.release(this.memory, this.smallBytes);
		this.budget.releaseLarge(this.memory, this.largeBytes);
		this.smallBytes = 0;
		this.largeBytes = 0;
	}

}

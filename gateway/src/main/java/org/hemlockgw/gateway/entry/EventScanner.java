package org.hemlockgw.gateway.entry;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * Collects the data of the events of an event stream, as the HTML standard defines it.
 */
final class EventScanner {

	private static final byte[] DATA = { 'd', 'a', 't', 'a' };

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final ByteArrayOutputStream event = new ByteArrayOutputStream();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private boolean hasData;

	private boolean afterReturn;

	private int events;

	/**
	 * Takes a part of the stream.
	 * @param part bytes; its reader index is not moved
	 */
	void append(ByteBuf part) {
		for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
			byte next = part.getByte(i);
			if (next == '\n' && this.afterReturn) {
				this.afterReturn = false;
				continue;
			}
			this.afterReturn = next == '\r';
			if (next == '\n' || next == '\r') {
				endLine();
			}
			else {
				this.line.write(next);
			}
		}
	}

	private void endLine() {
		byte[] bytes = this.line.toByteArray();
		this.line.reset();
		if (bytes.length == 0) {
			endEvent();
			return;
		}
		int colon = 0;
		while (colon < bytes.length && bytes[colon] != ':') {
			colon++;
		}
		if (colon != DATA.length || bytes[0] != 'd' || bytes[1] != 'a' || bytes[2] != 't' || bytes[3] != 'a') {
			return;
		}
		int start = Math.min(bytes.length, colon + 1);
		if (start < bytes.length && bytes[start] == ' ') {
			start++;
		}
		if (this.hasData) {
			this.event.write('\n');
		}
		this.event.write(bytes, start, bytes.length - start);
		this.hasData = true;
	}

	private void endEvent() {
		if (this.hasData) {
			this.output.writeBytes(this.event.toByteArray());
			this.output.write('\n');
			this.events++;
		}
		this.event.reset();
		this.hasData = false;
	}

	int eventCount() {
		return this.events;
	}

	/**
	 * Tells whether the stream ends between two events.
	 * @return false in the middle of an event
	 */
	boolean isAtEventBoundary() {
		return !this.hasData && this.line.size() == 0;
	}

	/**
	 * Returns the data of all events, each followed by a line feed.
	 * @return the bytes
	 */
	byte[] eventData() {
		return this.output.toByteArray();
	}

}

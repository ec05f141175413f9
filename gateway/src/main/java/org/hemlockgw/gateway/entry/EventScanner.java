package org.hemlockgw.gateway.entry;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * Extracts the data of the events of an event stream as defined by the HTML standard
 * (server-sent events).
 */
final class EventScanner {

	private static final byte[] DATA_FIELD = { 'd', 'a', 't', 'a' };

	private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();

	private final ByteArrayOutputStream currentEvent = new ByteArrayOutputStream();

	private final ByteArrayOutputStream eventData = new ByteArrayOutputStream();

	private boolean inEvent;

	private boolean hasData;

	private boolean afterCarriageReturn;

	private int eventCount;

	/**
	 * Processes the next part of the stream.
	 * @param part bytes; its reader index is not changed
	 */
	void append(ByteBuf part) {
		for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
			byte next = part.getByte(i);
			if (next == '\n' && this.afterCarriageReturn) {
				this.afterCarriageReturn = false;
				continue;
			}
			this.afterCarriageReturn = next == '\r';
			if (next == '\n' || next == '\r') {
				endLine();
			}
			else {
				this.currentLine.write(next);
			}
		}
	}

	private void endLine() {
		byte[] lineBytes = this.currentLine.toByteArray();
		this.currentLine.reset();
		if (lineBytes.length == 0) {
			endEvent();
			return;
		}
		// A comment belongs to no event.
		this.inEvent |= lineBytes[0] != ':';
		int colonIndex = 0;
		while (colonIndex < lineBytes.length && lineBytes[colonIndex] != ':') {
			colonIndex++;
		}
		if (colonIndex != DATA_FIELD.length || lineBytes[0] != 'd' || lineBytes[1] != 'a' || lineBytes[2] != 't'
				|| lineBytes[3] != 'a') {
			return;
		}
		int valueIndex = Math.min(lineBytes.length, colonIndex + 1);
		if (valueIndex < lineBytes.length && lineBytes[valueIndex] == ' ') {
			valueIndex++;
		}
		if (this.hasData) {
			this.currentEvent.write('\n');
		}
		this.currentEvent.write(lineBytes, valueIndex, lineBytes.length - valueIndex);
		this.hasData = true;
	}

	private void endEvent() {
		if (this.hasData) {
			this.eventData.writeBytes(this.currentEvent.toByteArray());
			this.eventData.write('\n');
			this.eventCount++;
		}
		this.currentEvent.reset();
		this.hasData = false;
		this.inEvent = false;
	}

	int eventCount() {
		return this.eventCount;
	}

	/**
	 * Returns whether the data processed so far ends between two events.
	 * @return false within an event
	 */
	boolean isAtEventBoundary() {
		return !this.inEvent && this.currentLine.size() == 0;
	}

	/**
	 * Returns whether the data processed so far is a complete stream.
	 * @return false within an event and before the end of the first one
	 */
	boolean isComplete() {
		return this.eventCount > 0 && isAtEventBoundary();
	}

	/**
	 * Returns the data of all complete events, each followed by a line feed.
	 * @return the bytes
	 */
	byte[] eventData() {
		return this.eventData.toByteArray();
	}

}

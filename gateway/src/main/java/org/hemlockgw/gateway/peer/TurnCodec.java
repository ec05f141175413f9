package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import org.hemlockgw.core.turn.TurnRecord;

/**
 * MessagePack encoding of turns in messages and in the store.
 */
public final class TurnCodec {

	private TurnCodec() {
	}

	/**
	 * Writes a turn.
	 * @param out packer to write to
	 * @param turn the turn
	 * @throws IOException if writing fails
	 */
	public static void write(MessagePacker out, TurnRecord turn) throws IOException {
		out.packString(turn.id()).packString(turn.program());
		FieldCodec.writeNullableString(out, turn.parent());
		FieldCodec.writeBytes(out, turn.input());
		FieldCodec.writeBytes(out, turn.output());
		out.packLong(turn.endedAt().toEpochMilli()).packLong(turn.retention().toMillis());
	}

	/**
	 * Reads a turn.
	 * @param in unpacker to read from
	 * @return the turn
	 * @throws IOException if reading fails or the data is not a turn
	 */
	public static TurnRecord read(MessageUnpacker in) throws IOException {
		return new TurnRecord(in.unpackString(), in.unpackString(), FieldCodec.readNullableString(in),
				FieldCodec.readBytes(in), FieldCodec.readBytes(in), Instant.ofEpochMilli(in.unpackLong()),
				Duration.ofMillis(in.unpackLong()));
	}

}

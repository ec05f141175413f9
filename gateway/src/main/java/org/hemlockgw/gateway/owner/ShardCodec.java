package org.hemlockgw.gateway.owner;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.turn.ProgramBudget;
import org.hemlockgw.core.turn.TurnRecord;
import org.hemlockgw.core.turn.TurnShard;
import org.hemlockgw.gateway.peer.TurnCodec;

/**
 * Encodes and decodes the records of a shard in the store. The key of a turn is {@code t}
 * followed by its identifier; the key of a budget is {@code p} followed by the program.
 */
final class ShardCodec {

	private static final byte[] DELETED = {};

	private static final String NO_PARENT = "";

	/** Deletes a key that is never written; verifies that the writer is not fenced. */
	static final KeyedValue CONFIRMATION = new KeyedValue("c", DELETED);

	private ShardCodec() {
	}

	static KeyedValue encodeTurn(TurnRecord turn) {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			TurnCodec.write(out, turn);
			return new KeyedValue("t" + turn.id(), out.toByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static KeyedValue encodeBudget(String program, ProgramBudget budget) {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			Map<String, ProgramBudget.Reservation> open = budget.reservations();
			out.packLong(budget.spent()).packLong(budget.retainedUntil().toEpochMilli()).packMapHeader(open.size());
			for (Map.Entry<String, ProgramBudget.Reservation> entry : open.entrySet()) {
				out.packString(entry.getKey()).packInt(entry.getValue().maxTokens());
			}
			for (ProgramBudget.Reservation reservation : open.values()) {
				out.packString((reservation.parent() != null) ? reservation.parent() : NO_PARENT);
			}
			return new KeyedValue("p" + program, out.toByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static KeyedValue encodeTurnDeletion(String id) {
		return new KeyedValue("t" + id, DELETED);
	}

	static KeyedValue encodeBudgetDeletion(String program) {
		return new KeyedValue("p" + program, DELETED);
	}

	/**
	 * Decodes a record and adds it to a shard.
	 * @param record the record
	 * @param shard the shard
	 * @throws IOException if the record is damaged
	 */
	static void decode(KeyedValue record, TurnShard shard) throws IOException {
		if (record.value().length == 0 || record.key().isEmpty()) {
			return;
		}
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(record.value())) {
			if (record.key().charAt(0) == 't') {
				shard.add(TurnCodec.read(in));
				return;
			}
			long spent = in.unpackLong();
			Instant keptUntil = Instant.ofEpochMilli(in.unpackLong());
			shard.restoreBudget(record.key().substring(1), new ProgramBudget(spent, readReservations(in), keptUntil));
		}
		catch (RuntimeException ex) {
			throw new IOException("damaged record " + record.key(), ex);
		}
	}

	// Records of earlier versions end after the token counts.
	private static Map<String, ProgramBudget.Reservation> readReservations(MessageUnpacker in) throws IOException {
		Map<String, Integer> tokens = new LinkedHashMap<>();
		for (int remaining = in.unpackMapHeader(); remaining > 0; remaining--) {
			tokens.put(in.unpackString(), in.unpackInt());
		}
		Map<String, ProgramBudget.Reservation> reservations = new HashMap<>();
		for (Map.Entry<String, Integer> entry : tokens.entrySet()) {
			String parent = in.hasNext() ? in.unpackString() : NO_PARENT;
			reservations.put(entry.getKey(),
					new ProgramBudget.Reservation(entry.getValue(), parent.isEmpty() ? null : parent));
		}
		return reservations;
	}

}

package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.SlotAnswer;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.NewestPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.turn.TurnRecord;

/**
 * MessagePack encoding of messages and turns. A frame is a correlation number, a type
 * number and the fields in the order of the record.
 */
public final class PeerCodec {

	private PeerCodec() {
	}

	/**
	 * Encodes a frame.
	 * @param frame the frame
	 * @return its bytes, without a length
	 */
	public static byte[] encode(Frame frame) {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			out.packLong(frame.correlation());
			write(out, frame.message());
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void write(MessagePacker out, PeerMessage message) throws IOException {
		if (message instanceof PeerMessage.Hello hello) {
			out.packInt(0).packString(hello.member());
		}
		else if (message instanceof PeerMessage.OpenTurn open) {
			out.packInt(1).packString(open.turn()).packString(open.program());
			writeText(out, open.parent());
			out.packLong(open.budget()).packInt(open.most()).packLong(open.retentionMs());
		}
		else if (message instanceof PeerMessage.TurnOpened opened) {
			out.packInt(2).packInt(opened.status().ordinal());
			writeBytes(out, opened.prompt());
		}
		else if (message instanceof PeerMessage.ReservationStored stored) {
			out.packInt(3).packBoolean(stored.stored());
		}
		else if (message instanceof PeerMessage.CloseTurn close) {
			out.packInt(4);
			writeTurn(out, close.record());
			out.packBoolean(close.whole()).packInt(close.tokens());
		}
		else if (message instanceof PeerMessage.TurnClosed closed) {
			out.packInt(5).packInt(closed.status().ordinal());
		}
		else if (message instanceof PeerMessage.FindTurn find) {
			out.packInt(6).packString(find.turn());
		}
		else if (message instanceof PeerMessage.TurnFound found) {
			out.packInt(7).packLong(found.generation()).packArrayHeader(found.shards().size());
			for (int shard : found.shards()) {
				out.packInt(shard);
			}
			out.packArrayHeader(found.chain().size());
			for (TurnRecord turn : found.chain()) {
				writeTurn(out, turn);
			}
		}
		else if (message instanceof PeerMessage.AcquireSlot acquire) {
			out.packInt(8).packString(acquire.pool());
			writeRequest(out, acquire.request());
		}
		else if (message instanceof PeerMessage.SlotAnswered answered) {
			writeAnswer(out.packInt(9), answered.answer());
		}
		else if (message instanceof PeerMessage.ReleaseSlot release) {
			out.packInt(10).packString(release.pool()).packString(release.request());
			out.packInt(release.units()).packBoolean(release.failed());
		}
		else if (message instanceof PeerMessage.HoldSlot hold) {
			out.packInt(11).packString(hold.pool());
			writeRequest(out, hold.request());
			out.packString(hold.server());
		}
		else if (message instanceof PeerMessage.AssignmentChanged) {
			out.packInt(12);
		}
		else if (message instanceof PeerMessage.ServerLost lost) {
			out.packInt(13).packString(lost.digest());
		}
		else if (message instanceof PeerMessage.SlotQueued) {
			out.packInt(14);
		}
		else if (message instanceof PeerMessage.RelayHolders) {
			out.packInt(15);
		}
		else if (message instanceof PeerMessage.HoldersRelayed relayed) {
			writeHolders(out.packInt(16), relayed.holders());
		}
		else if (message instanceof PeerMessage.KeepCopies keep) {
			out.packInt(17).packInt(keep.shard()).packLong(keep.epoch());
			writeRecords(out, keep.records());
		}
		else if (message instanceof PeerMessage.CopiesKept kept) {
			out.packInt(18).packBoolean(kept.kept());
		}
		else if (message instanceof PeerMessage.CollectCopies collect) {
			out.packInt(19).packInt(collect.shard()).packLong(collect.epoch());
		}
		else if (message instanceof PeerMessage.CopiesFound found) {
			writeRecords(out.packInt(20), found.records());
		}
		else if (message instanceof PeerMessage.RelayAppend relay) {
			out.packInt(21).packInt(relay.shard()).packLong(relay.epoch()).packLong(relay.sequence());
			writeRecords(out, relay.records());
		}
		else if (message instanceof PeerMessage.AppendRelayed relayed) {
			AppendOutcome outcome = relayed.outcome();
			out.packInt(22).packInt((outcome != null) ? outcome.ordinal() : -1);
		}
		else if (message instanceof PeerMessage.RelayJoin relay) {
			out.packInt(23).packString(relay.member()).packLong(relay.generation());
		}
		else if (message instanceof PeerMessage.JoinRelayed relayed) {
			writeAssignment(out.packInt(24), relayed.assignment());
		}
		else if (message instanceof PeerMessage.OfferCopies offer) {
			writeRecords(out.packInt(25).packInt(offer.shard()), offer.records());
		}
		else if (message instanceof PeerMessage.RelayRead relay) {
			out.packInt(26).packInt(relay.shard()).packString(relay.after());
		}
		else if (message instanceof PeerMessage.ReadRelayed relayed) {
			writePage(out.packInt(27), relayed.page());
		}
		else if (message instanceof PeerMessage.CopiesTaken taken) {
			out.packInt(28).packInt(taken.shard()).packInt(taken.count());
		}
	}

	/**
	 * Decodes a frame.
	 * @param bytes a whole frame
	 * @return the frame
	 * @throws IOException if the bytes are no frame
	 */
	public static Frame decode(byte[] bytes) throws IOException {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			return new Frame(in.unpackLong(), read(in));
		}
		catch (RuntimeException ex) {
			throw new IOException("malformed frame of " + bytes.length + " bytes", ex);
		}
	}

	private static PeerMessage read(MessageUnpacker in) throws IOException {
		int type = in.unpackInt();
		return switch (type) {
			case 0 -> new PeerMessage.Hello(in.unpackString());
			case 1 -> new PeerMessage.OpenTurn(in.unpackString(), in.unpackString(), readText(in), in.unpackLong(),
					in.unpackInt(), in.unpackLong());
			case 2 -> new PeerMessage.TurnOpened(TurnStatus.values()[in.unpackInt()], readBytes(in));
			case 3 -> new PeerMessage.ReservationStored(in.unpackBoolean());
			case 4 -> new PeerMessage.CloseTurn(readTurn(in), in.unpackBoolean(), in.unpackInt());
			case 5 -> new PeerMessage.TurnClosed(TurnStatus.values()[in.unpackInt()]);
			case 6 -> new PeerMessage.FindTurn(in.unpackString());
			case 7 -> readFound(in);
			case 8 -> new PeerMessage.AcquireSlot(in.unpackString(), readRequest(in));
			case 9 -> new PeerMessage.SlotAnswered(readAnswer(in));
			case 10 ->
				new PeerMessage.ReleaseSlot(in.unpackString(), in.unpackString(), in.unpackInt(), in.unpackBoolean());
			case 11 -> new PeerMessage.HoldSlot(in.unpackString(), readRequest(in), in.unpackString());
			case 12 -> new PeerMessage.AssignmentChanged();
			case 13 -> new PeerMessage.ServerLost(in.unpackString());
			case 14 -> new PeerMessage.SlotQueued();
			case 15 -> new PeerMessage.RelayHolders();
			case 16 -> new PeerMessage.HoldersRelayed(readHolders(in));
			case 17 -> new PeerMessage.KeepCopies(in.unpackInt(), in.unpackLong(), readRecords(in));
			case 18 -> new PeerMessage.CopiesKept(in.unpackBoolean());
			case 19 -> new PeerMessage.CollectCopies(in.unpackInt(), in.unpackLong());
			case 20 -> new PeerMessage.CopiesFound(readRecords(in));
			case 21 -> new PeerMessage.RelayAppend(in.unpackInt(), in.unpackLong(), in.unpackLong(), readRecords(in));
			case 22 -> {
				int outcome = in.unpackInt();
				yield new PeerMessage.AppendRelayed((outcome < 0) ? null : AppendOutcome.values()[outcome]);
			}
			case 23 -> new PeerMessage.RelayJoin(in.unpackString(), in.unpackLong());
			case 24 -> new PeerMessage.JoinRelayed(readAssignment(in));
			case 25 -> new PeerMessage.OfferCopies(in.unpackInt(), readRecords(in));
			case 26 -> new PeerMessage.RelayRead(in.unpackInt(), in.unpackString());
			case 27 -> new PeerMessage.ReadRelayed(readPage(in));
			case 28 -> new PeerMessage.CopiesTaken(in.unpackInt(), in.unpackInt());
			default -> throw new IOException("unknown message type " + type);
		};
	}

	private static PeerMessage readFound(MessageUnpacker in) throws IOException {
		long generation = in.unpackLong();
		List<Integer> shards = new ArrayList<>();
		for (int left = in.unpackArrayHeader(); left > 0; left--) {
			shards.add(in.unpackInt());
		}
		List<TurnRecord> chain = new ArrayList<>();
		for (int left = in.unpackArrayHeader(); left > 0; left--) {
			chain.add(readTurn(in));
		}
		return new PeerMessage.TurnFound(generation, shards, chain);
	}

	/**
	 * Writes a turn.
	 * @param out target
	 * @param turn the turn
	 * @throws IOException if the target fails
	 */
	public static void writeTurn(MessagePacker out, TurnRecord turn) throws IOException {
		out.packString(turn.id()).packString(turn.program());
		writeText(out, turn.parent());
		writeBytes(out, turn.input());
		writeBytes(out, turn.output());
		out.packLong(turn.endedAt().toEpochMilli()).packLong(turn.retention().toMillis());
	}

	/**
	 * Reads a turn.
	 * @param in source
	 * @return the turn
	 * @throws IOException if the source fails or holds something else
	 */
	public static TurnRecord readTurn(MessageUnpacker in) throws IOException {
		return new TurnRecord(in.unpackString(), in.unpackString(), readText(in), readBytes(in), readBytes(in),
				Instant.ofEpochMilli(in.unpackLong()), Duration.ofMillis(in.unpackLong()));
	}

	private static void writeRequest(MessagePacker out, SlotRequest request) throws IOException {
		out.packString(request.id()).packString(request.holder()).packInt(request.priority());
		out.packBoolean(request.running()).packLong(request.objectiveMs()).packLong(request.remainingMs());
		out.packArrayHeader(request.prompt().size());
		for (PromptPart part : request.prompt()) {
			out.packString(part.id()).packInt(part.tokens());
		}
		out.packArrayHeader(request.excluded().size());
		for (String server : request.excluded()) {
			out.packString(server);
		}
	}

	private static SlotRequest readRequest(MessageUnpacker in) throws IOException {
		String id = in.unpackString();
		String holder = in.unpackString();
		int priority = in.unpackInt();
		boolean running = in.unpackBoolean();
		long objectiveMs = in.unpackLong();
		long remainingMs = in.unpackLong();
		List<PromptPart> prompt = new ArrayList<>();
		for (int left = in.unpackArrayHeader(); left > 0; left--) {
			prompt.add(new PromptPart(in.unpackString(), in.unpackInt()));
		}
		Set<String> excluded = new HashSet<>();
		for (int left = in.unpackArrayHeader(); left > 0; left--) {
			excluded.add(in.unpackString());
		}
		return new SlotRequest(id, holder, priority, running, objectiveMs, remainingMs, prompt, excluded);
	}

	private static void writeAnswer(MessagePacker out, @Nullable SlotAnswer answer) throws IOException {
		out.packBoolean(answer != null);
		if (answer != null) {
			writeText(out, answer.server());
			out.packString(answer.address()).packLong(answer.retryAfterMs()).packString(answer.reason());
		}
	}

	private static @Nullable SlotAnswer readAnswer(MessageUnpacker in) throws IOException {
		return in.unpackBoolean() ? new SlotAnswer(readText(in), in.unpackString(), in.unpackLong(), in.unpackString())
				: null;
	}

	private static void writeRecords(MessagePacker out, List<KeyedValue> records) throws IOException {
		out.packArrayHeader(records.size());
		for (KeyedValue record : records) {
			out.packString(record.key());
			writeBytes(out, record.value());
		}
	}

	private static List<KeyedValue> readRecords(MessageUnpacker in) throws IOException {
		List<KeyedValue> records = new ArrayList<>();
		for (int left = in.unpackArrayHeader(); left > 0; left--) {
			records.add(new KeyedValue(in.unpackString(), readBytes(in)));
		}
		return records;
	}

	private static void writePage(MessagePacker out, @Nullable NewestPage page) throws IOException {
		out.packBoolean(page != null);
		if (page != null) {
			writeRecords(out, page.items());
			out.packBoolean(page.hasMore());
		}
	}

	private static @Nullable NewestPage readPage(MessageUnpacker in) throws IOException {
		return in.unpackBoolean() ? new NewestPage(readRecords(in), in.unpackBoolean()) : null;
	}

	private static void writeAssignment(MessagePacker out, @Nullable ShardAssignment assignment) throws IOException {
		out.packBoolean(assignment != null);
		if (assignment != null) {
			out.packLong(assignment.generation()).packArrayHeader(assignment.shards().size());
			for (int shard : assignment.shards()) {
				out.packInt(shard);
			}
		}
	}

	private static @Nullable ShardAssignment readAssignment(MessageUnpacker in) throws IOException {
		if (!in.unpackBoolean()) {
			return null;
		}
		long generation = in.unpackLong();
		Set<Integer> shards = new HashSet<>();
		for (int left = in.unpackArrayHeader(); left > 0; left--) {
			shards.add(in.unpackInt());
		}
		return new ShardAssignment(generation, shards);
	}

	private static void writeHolders(MessagePacker out, @Nullable ShardHolders holders) throws IOException {
		out.packBoolean(holders != null);
		if (holders != null) {
			out.packLong(holders.generation()).packMapHeader(holders.members().size());
			for (Map.Entry<Integer, String> entry : holders.members().entrySet()) {
				out.packInt(entry.getKey()).packString(entry.getValue());
			}
		}
	}

	private static @Nullable ShardHolders readHolders(MessageUnpacker in) throws IOException {
		if (!in.unpackBoolean()) {
			return null;
		}
		long generation = in.unpackLong();
		Map<Integer, String> members = new HashMap<>();
		for (int left = in.unpackMapHeader(); left > 0; left--) {
			members.put(in.unpackInt(), in.unpackString());
		}
		return new ShardHolders(generation, members);
	}

	private static void writeText(MessagePacker out, @Nullable String text) throws IOException {
		if (text == null) {
			out.packNil();
		}
		else {
			out.packString(text);
		}
	}

	private static @Nullable String readText(MessageUnpacker in) throws IOException {
		if (in.getNextFormat() == MessageFormat.NIL) {
			in.unpackNil();
			return null;
		}
		return in.unpackString();
	}

	private static void writeBytes(MessagePacker out, byte[] bytes) throws IOException {
		out.packBinaryHeader(bytes.length);
		out.writePayload(bytes);
	}

	private static byte[] readBytes(MessageUnpacker in) throws IOException {
		return in.readPayload(in.unpackBinaryHeader());
	}

	/**
	 * A message with the number that joins request and replies.
	 *
	 * @param correlation number chosen by the requester; 0 for one-way messages
	 * @param message the message
	 */
	public record Frame(long correlation, PeerMessage message) {

	}

}

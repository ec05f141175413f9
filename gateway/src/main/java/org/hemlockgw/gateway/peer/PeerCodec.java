package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import org.hemlockgw.core.store.AppendOutcome;

/**
 * MessagePack encoding of messages between daemons. A frame consists of a correlation
 * identifier, a type number and the fields of the message in the order of its record
 * components. Type numbers are never reused.
 */
public final class PeerCodec {

	private static final Map<Integer, Format<?>> BY_TYPE = new HashMap<>();

	private static final Map<Class<?>, Format<?>> BY_CLASS = new HashMap<>();

	static {
		add(0, PeerMessage.Hello.class, (out, hello) -> out.packString(hello.member()),
				(in) -> new PeerMessage.Hello(in.unpackString()));
		addTurns();
		addSlots();
		addRelays();
		addProofs();
	}

	private PeerCodec() {
	}

	private static void addTurns() {
		add(1, PeerMessage.OpenTurn.class, (out, open) -> {
			out.packString(open.turn()).packString(open.program());
			FieldCodec.writeNullableString(out, open.parent());
			out.packLong(open.budgetTokens())
				.packInt(open.maxTokens())
				.packLong(open.retentionMs())
				.packLong(open.remainingMs());
		}, (in) -> new PeerMessage.OpenTurn(in.unpackString(), in.unpackString(), FieldCodec.readNullableString(in),
				in.unpackLong(), in.unpackInt(), in.unpackLong(), in.unpackLong()));
		add(2, PeerMessage.TurnOpened.class, (out, opened) -> {
			out.packInt(opened.status().ordinal())
				.packBoolean(opened.programStarted())
				.packBoolean(opened.storeAvailable());
			FieldCodec.writeBytes(out, opened.prompt());
		}, (in) -> new PeerMessage.TurnOpened(TurnStatus.values()[in.unpackInt()], in.unpackBoolean(),
				in.unpackBoolean(), FieldCodec.readBytes(in)));
		add(3, PeerMessage.ReservationStored.class, (out, stored) -> out.packBoolean(stored.stored()),
				(in) -> new PeerMessage.ReservationStored(in.unpackBoolean()));
		add(4, PeerMessage.CloseTurn.class, (out, close) -> {
			TurnCodec.write(out, close.record());
			out.packBoolean(close.complete()).packInt(close.deliveredTokens());
		}, (in) -> new PeerMessage.CloseTurn(TurnCodec.read(in), in.unpackBoolean(), in.unpackInt()));
		add(5, PeerMessage.TurnClosed.class, (out, closed) -> out.packInt(closed.status().ordinal()),
				(in) -> new PeerMessage.TurnClosed(TurnStatus.values()[in.unpackInt()]));
		add(6, PeerMessage.FindTurn.class, (out, find) -> out.packString(find.turn()),
				(in) -> new PeerMessage.FindTurn(in.unpackString()));
		add(7, PeerMessage.TurnFound.class, (out, found) -> {
			out.packLong(found.generation());
			FieldCodec.writeInts(out, found.searchedShards());
			FieldCodec.writeChain(out, found.chain());
		}, (in) -> new PeerMessage.TurnFound(in.unpackLong(), FieldCodec.readInts(in), FieldCodec.readChain(in)));
		add(29, PeerMessage.ShardFenced.class, (out, fenced) -> out.packInt(fenced.shard()).packLong(fenced.epoch()),
				(in) -> new PeerMessage.ShardFenced(in.unpackInt(), in.unpackLong()));
		add(12, PeerMessage.AssignmentChanged.class, (out, changed) -> {
		}, (in) -> new PeerMessage.AssignmentChanged());
	}

	private static void addSlots() {
		add(8, PeerMessage.AcquireSlot.class, (out, acquire) -> {
			out.packString(acquire.pool());
			FieldCodec.writeSlotRequest(out, acquire.request());
		}, (in) -> new PeerMessage.AcquireSlot(in.unpackString(), FieldCodec.readSlotRequest(in)));
		add(9, PeerMessage.SlotAnswered.class, (out, answered) -> FieldCodec.writeSlotAnswer(out, answered.answer()),
				(in) -> new PeerMessage.SlotAnswered(FieldCodec.readSlotAnswer(in)));
		add(10, PeerMessage.ReleaseSlot.class,
				(out, release) -> out.packString(release.pool())
					.packString(release.request())
					.packInt(release.units())
					.packBoolean(release.failed()),
				(in) -> new PeerMessage.ReleaseSlot(in.unpackString(), in.unpackString(), in.unpackInt(),
						in.unpackBoolean()));
		add(11, PeerMessage.HoldSlot.class, (out, hold) -> {
			out.packString(hold.pool());
			FieldCodec.writeSlotRequest(out, hold.request());
			out.packString(hold.server());
		}, (in) -> new PeerMessage.HoldSlot(in.unpackString(), FieldCodec.readSlotRequest(in), in.unpackString()));
		add(13, PeerMessage.ServerLost.class,
				(out, lost) -> out.packString(lost.digest())
					.packLong(lost.hash())
					.packString(lost.server())
					.packLong(lost.startedAtMs())
					.packLong(lost.timeMs()),
				(in) -> new PeerMessage.ServerLost(in.unpackString(), in.unpackLong(), in.unpackString(),
						in.unpackLong(), in.unpackLong()));
		add(30, PeerMessage.ContentProcessed.class, (out, processed) -> out.packString(processed.digest()),
				(in) -> new PeerMessage.ContentProcessed(in.unpackString()));
		add(31, PeerMessage.ServerLeaving.class,
				(out, leaving) -> out.packString(leaving.server()).packLong(leaving.startedAtMs()),
				(in) -> new PeerMessage.ServerLeaving(in.unpackString(), in.unpackLong()));
		add(14, PeerMessage.SlotQueued.class, (out, queued) -> {
		}, (in) -> new PeerMessage.SlotQueued());
	}

	private static void addRelays() {
		add(15, PeerMessage.RelayHolders.class, (out, relay) -> {
		}, (in) -> new PeerMessage.RelayHolders());
		add(16, PeerMessage.HoldersRelayed.class, (out, relayed) -> FieldCodec.writeHolders(out, relayed.holders()),
				(in) -> new PeerMessage.HoldersRelayed(FieldCodec.readHolders(in)));
		add(21, PeerMessage.RelayAppend.class, (out, relay) -> {
			out.packInt(relay.shard()).packLong(relay.epoch()).packLong(relay.sequence());
			FieldCodec.writeRecords(out, relay.records());
		}, (in) -> new PeerMessage.RelayAppend(in.unpackInt(), in.unpackLong(), in.unpackLong(),
				FieldCodec.readRecords(in)));
		add(22, PeerMessage.AppendRelayed.class, (out, relayed) -> {
			AppendOutcome outcome = relayed.outcome();
			out.packInt((outcome != null) ? outcome.ordinal() : -1);
		}, (in) -> {
			int outcome = in.unpackInt();
			return new PeerMessage.AppendRelayed((outcome < 0) ? null : AppendOutcome.values()[outcome]);
		});
		add(23, PeerMessage.RelayJoin.class,
				(out, relay) -> out.packString(relay.member()).packLong(relay.generation()),
				(in) -> new PeerMessage.RelayJoin(in.unpackString(), in.unpackLong()));
		add(24, PeerMessage.JoinRelayed.class, (out, relayed) -> FieldCodec.writeAssignment(out, relayed.assignment()),
				(in) -> new PeerMessage.JoinRelayed(FieldCodec.readAssignment(in)));
		add(26, PeerMessage.RelayRead.class, (out, relay) -> out.packInt(relay.shard()).packString(relay.after()),
				(in) -> new PeerMessage.RelayRead(in.unpackInt(), in.unpackString()));
		add(27, PeerMessage.ReadRelayed.class, (out, relayed) -> FieldCodec.writePage(out, relayed.page()),
				(in) -> new PeerMessage.ReadRelayed(FieldCodec.readPage(in)));
	}

	private static void addProofs() {
		add(40, PeerMessage.ProofRequest.class,
				(out, request) -> out.packLong(request.version()).packLong(request.digest()),
				(in) -> new PeerMessage.ProofRequest(in.unpackLong(), in.unpackLong()));
		add(41, PeerMessage.ProofReply.class, (out, reply) -> {
			out.packLong(reply.version())
				.packLong(reply.digest())
				.packLong(reply.ageMs())
				.packBoolean(reply.document() != null);
			if (reply.document() != null) {
				FieldCodec.writeBytes(out, reply.document());
			}
		}, (in) -> new PeerMessage.ProofReply(in.unpackLong(), in.unpackLong(), in.unpackLong(),
				in.unpackBoolean() ? FieldCodec.readBytes(in) : null));
	}

	private static <M extends PeerMessage> void add(int type, Class<M> messageType, Writer<M> writer,
			Reader<M> reader) {
		Format<M> format = new Format<>(type, messageType, writer, reader);
		if (BY_TYPE.put(type, format) != null || BY_CLASS.put(messageType, format) != null) {
			throw new IllegalStateException("type " + type + " or " + messageType + " already has a format");
		}
	}

	/**
	 * Encodes a frame.
	 * @param frame the frame
	 * @return the encoded frame without length prefix
	 */
	public static byte[] encode(Frame frame) {
		Format<?> format = BY_CLASS.get(frame.message().getClass());
		if (format == null) {
			throw new IllegalStateException("no format for " + frame.message().getClass());
		}
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			out.packLong(frame.correlation()).packInt(format.type());
			format.write(out, frame.message());
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes a frame.
	 * @param bytes a complete frame without length prefix
	 * @return the frame
	 * @throws IOException if the bytes are not a valid frame
	 */
	public static Frame decode(byte[] bytes) throws IOException {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			long correlation = in.unpackLong();
			int type = in.unpackInt();
			Format<?> format = BY_TYPE.get(type);
			if (format == null) {
				throw new IOException("unknown message type " + type);
			}
			return new Frame(correlation, format.reader().read(in));
		}
		catch (RuntimeException ex) {
			throw new IOException("malformed frame of " + bytes.length + " bytes", ex);
		}
	}

	/**
	 * Message with the identifier that correlates a request and its replies.
	 *
	 * @param correlation identifier chosen by the requester; 0 for one-way messages
	 * @param message the message
	 */
	public record Frame(long correlation, PeerMessage message) {

	}

	private record Format<M extends PeerMessage>(int type, Class<M> messageType, Writer<M> writer, Reader<M> reader) {

		void write(MessagePacker out, PeerMessage message) throws IOException {
			this.writer.write(out, this.messageType.cast(message));
		}

	}

	/**
	 * Writes the fields of a message.
	 *
	 * @param <M> type of message
	 */
	@FunctionalInterface
	private interface Writer<M> {

		void write(MessagePacker out, M message) throws IOException;

	}

	/**
	 * Reads the fields of a message.
	 *
	 * @param <M> type of message
	 */
	@FunctionalInterface
	private interface Reader<M> {

		M read(MessageUnpacker in) throws IOException;

	}

}

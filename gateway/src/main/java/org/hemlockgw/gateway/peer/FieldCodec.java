package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.RecordPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.turn.TurnRecord;

/**
 * MessagePack encoding of fields that are common to several messages.
 */
final class FieldCodec {

	/** Maximum length of a byte string; no message is longer. */
	private static final int MAX_BYTES = PeerFrames.MAX_FRAME_BYTES;

	private FieldCodec() {
	}

	static void writeInts(MessagePacker out, Collection<Integer> numbers) throws IOException {
		out.packArrayHeader(numbers.size());
		for (int number : numbers) {
			out.packInt(number);
		}
	}

	static List<Integer> readInts(MessageUnpacker in) throws IOException {
		List<Integer> numbers = new ArrayList<>();
		for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
			numbers.add(in.unpackInt());
		}
		return numbers;
	}

	static void writeChain(MessagePacker out, List<TurnRecord> chain) throws IOException {
		out.packArrayHeader(chain.size());
		for (TurnRecord turn : chain) {
			TurnCodec.write(out, turn);
		}
	}

	static List<TurnRecord> readChain(MessageUnpacker in) throws IOException {
		List<TurnRecord> chain = new ArrayList<>();
		for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
			chain.add(TurnCodec.read(in));
		}
		return chain;
	}

	static void writeSlotRequest(MessagePacker out, SlotRequest request) throws IOException {
		out.packString(request.id()).packString(request.holder());
		out.packString(request.account()).packString(request.session());
		out.packString(request.route()).packString(request.program()).packInt(request.priority());
		out.packBoolean(request.programStarted()).packLong(request.programRemainingMs());
		out.packLong(request.objectiveMs()).packLong(request.remainingMs());
		out.packArrayHeader(request.prompt().size());
		for (PromptPart part : request.prompt()) {
			out.packString(part.id()).packInt(part.tokens());
		}
		out.packInt(request.maxTokens());
		writeStrings(out, request.excluded());
		writeStrings(out, request.connected());
	}

	private static void writeStrings(MessagePacker out, Set<String> strings) throws IOException {
		out.packArrayHeader(strings.size());
		for (String string : strings) {
			out.packString(string);
		}
	}

	private static Set<String> readStrings(MessageUnpacker in) throws IOException {
		Set<String> strings = new HashSet<>();
		for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
			strings.add(in.unpackString());
		}
		return strings;
	}

	static SlotRequest readSlotRequest(MessageUnpacker in) throws IOException {
		String id = in.unpackString();
		String holder = in.unpackString();
		String account = in.unpackString();
		String session = in.unpackString();
		String route = in.unpackString();
		String program = in.unpackString();
		int priority = in.unpackInt();
		boolean programStarted = in.unpackBoolean();
		long programRemainingMs = in.unpackLong();
		long objectiveMs = in.unpackLong();
		long remainingMs = in.unpackLong();
		List<PromptPart> prompt = new ArrayList<>();
		for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
			prompt.add(new PromptPart(in.unpackString(), in.unpackInt()));
		}
		return new SlotRequest(id, holder, account, session, route, program, priority, programStarted,
				programRemainingMs, objectiveMs, remainingMs, prompt, in.unpackInt(), readStrings(in), readStrings(in));
	}

	static void writeSlotAnswer(MessagePacker out, @Nullable SlotDecision answer) throws IOException {
		out.packBoolean(answer != null);
		if (answer != null) {
			writeNullableString(out, answer.serverId());
			out.packString(answer.address()).packLong(answer.retryAfterMs()).packString(answer.reason());
		}
	}

	static @Nullable SlotDecision readSlotAnswer(MessageUnpacker in) throws IOException {
		return in.unpackBoolean()
				? new SlotDecision(readNullableString(in), in.unpackString(), in.unpackLong(), in.unpackString())
				: null;
	}

	static void writeRecords(MessagePacker out, List<KeyedValue> records) throws IOException {
		out.packArrayHeader(records.size());
		for (KeyedValue record : records) {
			out.packString(record.key());
			writeBytes(out, record.value());
		}
	}

	static List<KeyedValue> readRecords(MessageUnpacker in) throws IOException {
		List<KeyedValue> records = new ArrayList<>();
		for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
			records.add(new KeyedValue(in.unpackString(), readBytes(in)));
		}
		return records;
	}

	static void writePage(MessagePacker out, @Nullable RecordPage page) throws IOException {
		out.packBoolean(page != null);
		if (page != null) {
			writeRecords(out, page.records());
			out.packBoolean(page.hasMore());
		}
	}

	static @Nullable RecordPage readPage(MessageUnpacker in) throws IOException {
		return in.unpackBoolean() ? new RecordPage(readRecords(in), in.unpackBoolean()) : null;
	}

	static void writeAssignment(MessagePacker out, @Nullable ShardAssignment assignment) throws IOException {
		out.packBoolean(assignment != null);
		if (assignment != null) {
			out.packLong(assignment.generation());
			writeInts(out, assignment.shards());
		}
	}

	static @Nullable ShardAssignment readAssignment(MessageUnpacker in) throws IOException {
		return in.unpackBoolean() ? new ShardAssignment(in.unpackLong(), new HashSet<>(readInts(in))) : null;
	}

	static void writeHolders(MessagePacker out, @Nullable ShardHolders holders) throws IOException {
		out.packBoolean(holders != null);
		if (holders != null) {
			out.packLong(holders.generation()).packMapHeader(holders.members().size());
			for (Map.Entry<Integer, String> entry : holders.members().entrySet()) {
				out.packInt(entry.getKey()).packString(entry.getValue());
			}
		}
	}

	static @Nullable ShardHolders readHolders(MessageUnpacker in) throws IOException {
		if (!in.unpackBoolean()) {
			return null;
		}
		long generation = in.unpackLong();
		Map<Integer, String> members = new HashMap<>();
		for (int remaining = in.unpackMapHeader(); remaining > 0; remaining--) {
			members.put(in.unpackInt(), in.unpackString());
		}
		return new ShardHolders(generation, members);
	}

	static void writeNullableString(MessagePacker out, @Nullable String text) throws IOException {
		if (text == null) {
			out.packNil();
		}
		else {
			out.packString(text);
		}
	}

	static @Nullable String readNullableString(MessageUnpacker in) throws IOException {
		if (in.getNextFormat() == MessageFormat.NIL) {
			in.unpackNil();
			return null;
		}
		return in.unpackString();
	}

	static void writeBytes(MessagePacker out, byte[] bytes) throws IOException {
		out.packBinaryHeader(bytes.length);
		out.writePayload(bytes);
	}

	static byte[] readBytes(MessageUnpacker in) throws IOException {
		int length = in.unpackBinaryHeader();
		if (length > MAX_BYTES) {
			throw new IOException("byte string of length " + length + " exceeds " + MAX_BYTES);
		}
		return in.readPayload(length);
	}

}

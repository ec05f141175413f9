package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.RecordPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.turn.TurnRecord;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PeerCodec}.
 */
class PeerCodecTests {

	private static final TurnRecord TURN = new TurnRecord("t1", "p1", "t0", new byte[] { 1, 2 }, new byte[] { 3 },
			Instant.ofEpochMilli(123_456), Duration.ofSeconds(60));

	private static final SlotRequest REQUEST = new SlotRequest("r1", "d1", "acme", "s-1", 1, true, -40, 250, 3000,
			List.of(new PromptPart("ab", 512)), 80, Set.of("s1"), Set.of("s4"));

	static Stream<PeerMessage> messages() {
		return Stream.of(new PeerMessage.Hello("d1"),
				new PeerMessage.OpenTurn("t1", "p1", null, 5000, 80, 60_000, 3000),
				new PeerMessage.OpenTurn("t1", "p1", "t0", 5000, 80, 60_000, 3000),
				new PeerMessage.ReservationStored(true), new PeerMessage.TurnClosed(TurnStatus.NOT_OWNER),
				new PeerMessage.FindTurn("t1"), new PeerMessage.AcquireSlot("pool", REQUEST),
				new PeerMessage.SlotAnswered(new SlotDecision("s1", "127.0.0.1:1", 0, "")),
				new PeerMessage.SlotAnswered(SlotDecision.refused(250, "full")), new PeerMessage.SlotAnswered(null),
				new PeerMessage.SlotQueued(), new PeerMessage.ReleaseSlot("pool", "r1", 3, true),
				new PeerMessage.HoldSlot("pool", REQUEST, "s1"), new PeerMessage.AssignmentChanged(),
				new PeerMessage.ServerLost("abc", -5, "s1", 1_796_463_000_000L, 1_796_463_045_915L),
				new PeerMessage.ContentProcessed("abc"), new PeerMessage.ServerLeaving("s1", 1_796_463_000_000L),
				new PeerMessage.ShardFenced(3, 8), new PeerMessage.RelayHolders(),
				new PeerMessage.ProofRequest(Long.MIN_VALUE, 0), new PeerMessage.ProofReply(8, -9, 1500, null),
				new PeerMessage.RelayAppend(3, 8, 2, List.of()), new PeerMessage.AppendRelayed(null),
				new PeerMessage.AppendRelayed(AppendOutcome.FENCED), new PeerMessage.RelayJoin("d1", 4),
				new PeerMessage.JoinRelayed(null), new PeerMessage.JoinRelayed(new ShardAssignment(4, Set.of(1, 2))),
				new PeerMessage.RelayRead(3, "k"), new PeerMessage.ReadRelayed(null),
				new PeerMessage.ReadRelayed(new RecordPage(List.of(), true)), new PeerMessage.HoldersRelayed(null),
				new PeerMessage.HoldersRelayed(new ShardHolders(4, Map.of(0, "d1", 1, "d2"))));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void messageIsDecodedUnchanged(PeerMessage message) throws IOException {
		PeerCodec.Frame frame = PeerCodec.decode(PeerCodec.encode(new PeerCodec.Frame(7, message)));
		assertThat(frame).isEqualTo(new PeerCodec.Frame(7, message));
	}

	// Records with array components are compared by content, because equals compares
	// arrays by identity.
	static Stream<PeerMessage> messagesWithBytes() {
		return Stream.of(new PeerMessage.TurnFound(5, List.of(1, 2), List.of(TURN)),
				new PeerMessage.CloseTurn(TURN, true, 34), new PeerMessage.ProofReply(8, -9, 1500, new byte[] { 4, 5 }),
				new PeerMessage.TurnOpened(TurnStatus.UNCERTAIN, true, false, new byte[] { 5, 6 }));
	}

	@ParameterizedTest
	@MethodSource("messagesWithBytes")
	void messageWithBytesIsDecodedUnchanged(PeerMessage message) throws IOException {
		PeerMessage decoded = PeerCodec.decode(PeerCodec.encode(new PeerCodec.Frame(7, message))).message();
		assertThat(content(decoded)).isEqualTo(content(message));
	}

	private static List<Object> content(PeerMessage message) {
		if (message instanceof PeerMessage.TurnOpened opened) {
			return List.of(opened.status(), opened.programStarted(), opened.storeAvailable(),
					HexFormat.of().formatHex(opened.prompt()));
		}
		if (message instanceof PeerMessage.TurnFound found) {
			return List.of(found.generation(), found.searchedShards(),
					found.chain().stream().map(PeerCodecTests::text).toList());
		}
		if (message instanceof PeerMessage.ProofReply reply) {
			return List.of(reply.version(), reply.digest(), reply.ageMs(), HexFormat.of().formatHex(reply.document()));
		}
		PeerMessage.CloseTurn close = (PeerMessage.CloseTurn) message;
		return List.of(text(close.record()), close.complete(), close.deliveredTokens());
	}

	private static String text(TurnRecord turn) {
		return turn.id() + " " + turn.program() + " " + turn.parent() + " " + HexFormat.of().formatHex(turn.input())
				+ " " + HexFormat.of().formatHex(turn.output()) + " " + turn.endedAt() + " " + turn.retention();
	}

	// Guards against exceptions other than IOException, which closes the connection.
	@ParameterizedTest
	@MethodSource("messages")
	void truncatedFrameIsRejected(PeerMessage message) throws IOException {
		byte[] bytes = PeerCodec.encode(new PeerCodec.Frame(7, message));
		for (int length = 0; length < bytes.length; length++) {
			try {
				PeerCodec.decode(Arrays.copyOf(bytes, length));
				throw new AssertionError("frame of " + length + " bytes was read");
			}
			catch (IOException expected) {
				assertThat(expected).isNotNull();
			}
		}
	}

	static Stream<Class<?>> types() {
		return Stream
			.concat(Arrays.stream(PeerMessage.class.getPermittedSubclasses()),
					Arrays.stream(PeerMessage.StoreCall.class.getPermittedSubclasses()))
			.filter((type) -> !type.isInterface());
	}

	// Guards against a message type that these tests do not cover.
	@ParameterizedTest
	@MethodSource("types")
	void everyTypeIsTested(Class<?> type) {
		assertThat(Stream.concat(messages(), messagesWithBytes()).map(Object::getClass).toList()).contains(type);
	}

}

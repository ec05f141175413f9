package org.hemlockgw.gateway.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * Replies of several daemons to one question.
 */
final class FanOutRequest {

	/** Time in milliseconds for a daemon's reply; a round trip takes about two. */
	private static final long REPLY_TIMEOUT_MS = 250;

	private final KnownMembers members;

	private final Consumer<Map<MemberName, PeerMessage>> done;

	private final Map<MemberName, PeerMessage> replies = new HashMap<>();

	private int waiting;

	private FanOutRequest(KnownMembers members, int waiting, Consumer<Map<MemberName, PeerMessage>> done) {
		this.members = members;
		this.waiting = waiting;
		this.done = done;
	}

	/**
	 * Asks daemons.
	 * @param peers links to them
	 * @param members learns which of them did not reply
	 * @param targets the daemons
	 * @param question the question
	 * @param done receives the replies once all have come or failed to
	 */
	static void send(PeerLinks peers, KnownMembers members, List<MemberName> targets, PeerMessage question,
			Consumer<Map<MemberName, PeerMessage>> done) {
		if (targets.isEmpty()) {
			done.accept(Map.of());
			return;
		}
		FanOutRequest gathering = new FanOutRequest(members, targets.size(), done);
		for (MemberName target : targets) {
			peers.request(target.peerAddress(), question, REPLY_TIMEOUT_MS, gathering.replyOf(target));
		}
	}

	private ReplyListener replyOf(MemberName target) {
		return new ReplyListener() {
			@Override
			public void onReply(PeerMessage message) {
				FanOutRequest.this.replies.put(target, message);
				oneLess();
			}

			@Override
			public void onFailure(String cause) {
				FanOutRequest.this.members.recordFailure(target);
				oneLess();
			}
		};
	}

	private void oneLess() {
		this.waiting--;
		if (this.waiting == 0) {
			this.done.accept(this.replies);
		}
	}

}

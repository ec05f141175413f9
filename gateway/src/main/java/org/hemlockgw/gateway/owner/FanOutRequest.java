package org.hemlockgw.gateway.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * Sends one request to several daemons and collects their replies.
 */
final class FanOutRequest {

	/** Time limit for a reply in milliseconds; a round trip takes about 2 ms. */
	private static final long REPLY_TIMEOUT_MS = 250;

	private final KnownMembers members;

	private final Consumer<Map<MemberName, PeerMessage>> done;

	private final Map<MemberName, PeerMessage> replies = new HashMap<>();

	private int outstanding;

	private FanOutRequest(KnownMembers members, int outstanding, Consumer<Map<MemberName, PeerMessage>> done) {
		this.members = members;
		this.outstanding = outstanding;
		this.done = done;
	}

	/**
	 * Sends a request to several daemons.
	 * @param peers connections to other daemons
	 * @param members notified of each daemon that did not reply
	 * @param targets daemons to send the request to
	 * @param request the request
	 * @param done called with the received replies after every daemon has replied or
	 * failed
	 */
	static void send(PeerLinks peers, KnownMembers members, List<MemberName> targets, PeerMessage request,
			Consumer<Map<MemberName, PeerMessage>> done) {
		if (targets.isEmpty()) {
			done.accept(Map.of());
			return;
		}
		FanOutRequest fanOut = new FanOutRequest(members, targets.size(), done);
		for (MemberName target : targets) {
			peers.request(target.peerAddress(), request, REPLY_TIMEOUT_MS, fanOut.listenerFor(target));
		}
	}

	private ReplyListener listenerFor(MemberName target) {
		return new ReplyListener() {
			@Override
			public void onReply(PeerMessage message) {
				FanOutRequest.this.replies.put(target, message);
				completeOne();
			}

			@Override
			public void onFailure(String cause) {
				FanOutRequest.this.members.recordFailure(target);
				completeOne();
			}
		};
	}

	private void completeOne() {
		this.outstanding--;
		if (this.outstanding == 0) {
			this.done.accept(this.replies);
		}
	}

}

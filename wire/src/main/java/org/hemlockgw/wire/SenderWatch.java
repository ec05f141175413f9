package org.hemlockgw.wire;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.generated.peer.Frame;
import org.hemlockgw.generated.peer.Sender;

/**
 * Reports changes of the sender's incarnation and configuration version on one
 * connection.
 */
final class SenderWatch {

	private final FrameListener listener;

	private Sender sender = Sender.getDefaultInstance();

	private long version = -1;

	SenderWatch(FrameListener listener) {
		this.listener = listener;
	}

	void observe(Frame frame) {
		if (frame.getConfigurationVersion() == this.version && frame.getSender().equals(this.sender)) {
			return;
		}
		this.version = frame.getConfigurationVersion();
		this.sender = frame.getSender();
		this.listener.seen(new Incarnation(this.sender.getVm(), this.sender.getIncarnation()), this.version);
	}

}

package org.hemlockgw.wire;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.generated.peer.Frame;
import org.hemlockgw.generated.peer.Sender;

/**
 * This daemon as its frames describe it.
 *
 * @param incarnation current incarnation
 * @param configurationVersion configuration version in force
 * @param listener learns about other daemons
 */
public record LocalPeer(Supplier<Incarnation> incarnation, LongSupplier configurationVersion, FrameListener listener) {

	Frame.Builder frame(long correlation) {
		Incarnation self = this.incarnation.get();
		return Frame.newBuilder()
			.setCorrelation(correlation)
			.setConfigurationVersion(this.configurationVersion.getAsLong())
			.setSender(Sender.newBuilder().setVm(self.vm()).setIncarnation(self.id()));
	}

}

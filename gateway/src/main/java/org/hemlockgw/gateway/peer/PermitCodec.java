package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import org.hemlockgw.core.quota.AccountLevel;
import org.hemlockgw.core.quota.PermitDecision;
import org.hemlockgw.core.quota.PermitRequest;
import org.hemlockgw.core.quota.ShardPermitsState;

/**
 * MessagePack encoding of permits of client accounts.
 */
final class PermitCodec {

	private PermitCodec() {
	}

	static void writeRequest(MessagePacker out, PermitRequest request) throws IOException {
		out.packString(request.account()).packInt(request.program()).packBoolean(request.mayBegin());
	}

	static PermitRequest readRequest(MessageUnpacker in) throws IOException {
		return new PermitRequest(in.unpackString(), in.unpackInt(), in.unpackBoolean());
	}

	static void writeDecision(MessagePacker out, PermitDecision decision) throws IOException {
		out.packInt(decision.status().ordinal()).packLong(decision.permit()).packLong(decision.retryAfterMs());
	}

	static PermitDecision readDecision(MessageUnpacker in) throws IOException {
		return new PermitDecision(PermitDecision.Status.values()[in.unpackInt()], in.unpackLong(), in.unpackLong());
	}

	static void writeState(MessagePacker out, @Nullable ShardPermitsState state) throws IOException {
		out.packBoolean(state != null);
		if (state == null) {
			return;
		}
		out.packLong(state.emptyAgeMs()).packArrayHeader(state.accounts().size());
		for (AccountLevel level : state.accounts()) {
			out.packString(level.account()).packFloat(level.level()).packFloat(level.credits());
		}
	}

	static @Nullable ShardPermitsState readState(MessageUnpacker in) throws IOException {
		if (!in.unpackBoolean()) {
			return null;
		}
		long emptyAgeMs = in.unpackLong();
		List<AccountLevel> accounts = new ArrayList<>();
		for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
			accounts.add(new AccountLevel(in.unpackString(), in.unpackFloat(), in.unpackFloat()));
		}
		return new ShardPermitsState(emptyAgeMs, accounts);
	}

}

package org.hemlockgw.gateway.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import org.hemlockgw.core.account.AccountScope;
import org.hemlockgw.core.account.ClientAccount;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RequestContent}.
 */
class RequestContentTests {

	// Guards against content of one account that blocks the same content of another, and
	// against digests that change while accounts are disabled.
	@Test
	void digestIncludesTheAccount() {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x/1",
				Unpooled.wrappedBuffer(new byte[] { 1, 2, 3 }));
		Set<String> digests = new HashSet<>();
		Set<Long> hashes = new HashSet<>();
		for (AccountScope scope : List.of(AccountScope.DISABLED, AccountScope.PUBLIC, scope("red"), scope("blue"))) {
			RequestContent content = new RequestContent(request, new byte[0], scope);
			digests.add(content.digest());
			hashes.add(content.hash());
		}
		assertThat(digests).hasSize(4);
		assertThat(hashes).hasSize(4);
		// Digest of the release before accounts; stored reports contain it.
		assertThat(digests).contains("db695d49b7c284480a6c619da0be20ce");
	}

	private static AccountScope scope(String name) {
		return AccountScope.of(new ClientAccount(name, null, null));
	}

}

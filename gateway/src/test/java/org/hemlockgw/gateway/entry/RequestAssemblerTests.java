package org.hemlockgw.gateway.entry;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RequestAssembler}.
 */
class RequestAssemblerTests {

	private static final int BODY_BYTES = 60 * 1024;

	// Guards against a body that counts as a head because both arrive in one segment.
	@Test
	void headMemoryDoesNotIncludeBody() {
		String head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
		EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder());
		channel.writeInbound(Unpooled.copiedBuffer(head + "x".repeat(BODY_BYTES), StandardCharsets.US_ASCII));
		HttpRequest request = channel.readInbound();
		assertThat(RequestAssembler.headTextBytes(request)).isAtMost(head.length());
		assertThat(RequestAssembler.headTextBytes(request)).isAtLeast("POST/aHosthContent-Length61440".length());
		channel.finishAndReleaseAll();
	}

}

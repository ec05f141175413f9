package org.hemlockgw.gateway.net;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Headers with a limited number of fields. A field of 4 bytes takes some 160 bytes of
 * memory, so a limit on the size in bytes alone isn't sufficient.
 */
public final class CountedHeaders extends DefaultHttpHeaders {

	/** Memory in bytes that a field takes besides its text. */
	public static final int FIELD_OVERHEAD_BYTES = 160;

	private final int maxFields;

	private CountedHeaders(int maxFields) {
		this.maxFields = maxFields;
	}

	/**
	 * Creates the configuration of a request decoder.
	 * @param maxLineBytes maximum length of the request line in bytes
	 * @param maxHeaderBytes maximum total size of the fields in bytes
	 * @param maxFields maximum number of fields
	 * @return the configuration
	 */
	public static HttpDecoderConfig decoderConfig(int maxLineBytes, int maxHeaderBytes, int maxFields) {
		HttpHeadersFactory factory = new HttpHeadersFactory() {
			@Override
			public HttpHeaders newHeaders() {
				return new CountedHeaders(maxFields);
			}

			@Override
			public HttpHeaders newEmptyHeaders() {
				return new CountedHeaders(maxFields);
			}
		};
		return new HttpDecoderConfig().setMaxInitialLineLength(maxLineBytes)
			.setMaxHeaderSize(maxHeaderBytes)
			.setHeadersFactory(factory)
			.setTrailersFactory(factory);
	}

	@Override
	public HttpHeaders add(CharSequence name, Object value) {
		checkSize();
		return super.add(name, value);
	}

	@Override
	public HttpHeaders add(String name, Object value) {
		checkSize();
		return super.add(name, value);
	}

	private void checkSize() {
		if (size() >= this.maxFields) {
			throw new TooLongFrameException("more than " + this.maxFields + " header fields");
		}
	}

}

package org.hemlockgw.daemon.entry;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.io.IOCallback;

/**
 * Body of a response that tells when it has been written or given up.
 */
final class ResponseEntity extends AbstractHttpEntity {

	private final long length;

	private final IOCallback<OutputStream> writer;

	private final Runnable closed;

	private final AtomicBoolean open = new AtomicBoolean(true);

	private ResponseEntity(ContentType type, long length, IOCallback<OutputStream> writer, Runnable closed) {
		super(type, null, length < 0);
		this.length = length;
		this.writer = writer;
		this.closed = closed;
	}

	static ResponseEntity ofBytes(ContentType type, byte[] body, Runnable closed) {
		return new ResponseEntity(type, body.length, (out) -> out.write(body), closed);
	}

	static ResponseEntity ofStream(ContentType type, IOCallback<OutputStream> writer, Runnable closed) {
		return new ResponseEntity(type, -1, writer, closed);
	}

	@Override
	public void writeTo(OutputStream out) throws IOException {
		try {
			this.writer.execute(out);
			out.flush();
		}
		finally {
			close();
		}
	}

	@Override
	public InputStream getContent() {
		return new ByteArrayInputStream(new byte[0]);
	}

	@Override
	public boolean isStreaming() {
		return this.length < 0;
	}

	@Override
	public long getContentLength() {
		return this.length;
	}

	@Override
	public void close() {
		if (this.open.compareAndSet(true, false)) {
			this.closed.run();
		}
	}

}

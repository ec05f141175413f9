package org.hemlockgw.standins.http;

/**
 * A request that is answered with an error status.
 */
public final class HttpRejection extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final int status;

	public HttpRejection(int status, String message) {
		super(message);
		this.status = status;
	}

	public int status() {
		return this.status;
	}

}

package org.hemlockgw.daemon.entry;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;

/**
 * Passes an answer from the request path to the thread that writes to the caller. Text
 * that the caller has not read yet is joined, so a slow caller holds back nobody and
 * takes up no more memory than the answer's length.
 */
final class AnswerBuffer implements EventSink {

	private final StringBuilder pending = new StringBuilder();

	private @Nullable CallResult result;

	private @Nullable CallFailure failure;

	@Override
	public synchronized void accept(CallEvent event) {
		this.pending.append(event.text());
		notifyAll();
	}

	synchronized void end(@Nullable CallResult value, @Nullable Throwable thrown) {
		if (value != null) {
			this.result = value;
		}
		else {
			this.failure = CallFailure.of((thrown != null) ? thrown : new IllegalStateException("no result"));
		}
		notifyAll();
	}

	/**
	 * Waits for text or the end.
	 * @throws InterruptedException if the thread was interrupted
	 */
	synchronized void await() throws InterruptedException {
		while (this.pending.isEmpty() && this.result == null && this.failure == null) {
			wait();
		}
	}

	/**
	 * Takes the text that came since the last call.
	 * @return the text, which may be empty
	 */
	synchronized String take() {
		String text = this.pending.toString();
		this.pending.setLength(0);
		return text;
	}

	synchronized boolean hasText() {
		return !this.pending.isEmpty();
	}

	synchronized @Nullable CallResult result() {
		return this.result;
	}

	synchronized @Nullable CallFailure failure() {
		return this.failure;
	}

}

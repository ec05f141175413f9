package org.hemlockgw.daemon.routing;

import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.EventSink;

/**
 * Joins the events of several attempts into one answer, so that no token reaches the
 * caller twice. Each attempt starts again at offset 0. An attempt may split the answer
 * into other events than the one before, so positions are compared in characters; an
 * attempt whose text differs from what was delivered makes the answer unusable.
 */
final class AnswerAssembler {

	private final EventSink target;

	private final StringBuilder delivered = new StringBuilder();

	private long deliveredTokens;

	private boolean diverged;

	AnswerAssembler(EventSink target) {
		this.target = target;
	}

	/**
	 * Returns a sink for the next attempt.
	 * @return the sink
	 */
	EventSink attempt() {
		return new AttemptSink();
	}

	/**
	 * Delivers what the attempts' events did not.
	 * @param text the whole answer
	 * @param tokens tokens of the whole answer
	 */
	synchronized void finish(String text, long tokens) {
		this.diverged |= text.length() < this.delivered.length();
		deliver(0, text, tokens);
	}

	synchronized boolean started() {
		return !this.delivered.isEmpty();
	}

	synchronized boolean diverged() {
		return this.diverged;
	}

	private void deliver(int position, String text, long tokensAtEnd) {
		int overlap = Math.min(this.delivered.length() - position, text.length());
		if (!text.startsWith(this.delivered.substring(position, position + overlap))) {
			this.diverged = true;
		}
		if (this.diverged || overlap == text.length()) {
			return;
		}
		String rest = text.substring(overlap);
		long offset = this.deliveredTokens;
		this.delivered.append(rest);
		this.deliveredTokens = Math.max(offset, tokensAtEnd);
		this.target.accept(new CallEvent(offset, (int) (this.deliveredTokens - offset), rest));
	}

	/**
	 * Receives the events of one attempt.
	 */
	private final class AttemptSink implements EventSink {

		private long tokens;

		private int position;

		private boolean gap;

		@Override
		public void accept(CallEvent event) {
			synchronized (AnswerAssembler.this) {
				// After a gap the attempt's position is unknown; its result closes it.
				this.gap |= event.offset() != this.tokens;
				if (this.gap) {
					return;
				}
				int start = this.position;
				this.tokens += event.tokens();
				this.position += event.text().length();
				if (start <= AnswerAssembler.this.delivered.length()) {
					deliver(start, event.text(), this.tokens);
				}
			}
		}

	}

}

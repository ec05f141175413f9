package org.hemlockgw.core.program;

/**
 * Receives the chunks of one streamed response in order, from one thread at a time. Each
 * token offset is delivered at most once.
 */
@FunctionalInterface
public interface EventSink {

	void accept(CallEvent event);

}

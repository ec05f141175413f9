package org.hemlockgw.core.program;

/**
 * Receives the events of one answer, in order and from one thread at a time. Each token
 * offset is delivered at most once.
 */
@FunctionalInterface
public interface EventSink {

	void accept(CallEvent event);

}

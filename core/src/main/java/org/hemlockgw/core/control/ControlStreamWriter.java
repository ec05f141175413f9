package org.hemlockgw.core.control;

import java.util.concurrent.CompletableFuture;

/**
 * Appends records to the {@code control} stream.
 */
@FunctionalInterface
public interface ControlStreamWriter {

	CompletableFuture<Long> append(ControlRecord record);

}

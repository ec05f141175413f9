package org.hemlockgw.gateway;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.hemlockgw.core.retry.CrashReport;

/**
 * Durable reports of crashes of backend servers, shared by all daemons. It outlives the
 * loss of all daemons.
 */
public interface CrashLog {

	/**
	 * Starts watching the reports of all daemons.
	 * @param listener receives all reports that are still counted after the first read,
	 * which may find none, and after each change, on the event loop
	 */
	void watch(Consumer<Collection<CrashReport>> listener);

	/**
	 * Stores reports. Storing a report again changes nothing.
	 * @param reports the reports
	 * @return completed once the reports are durable
	 */
	CompletableFuture<Void> append(List<CrashReport> reports);

	/**
	 * Deletes reports. Deleting a report that is not stored changes nothing.
	 * @param reports the reports
	 * @return completed once the deletion is durable
	 */
	CompletableFuture<Void> delete(List<CrashReport> reports);

}

package org.hemlockgw.cli;

import java.time.Duration;
import java.util.Optional;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigPatch;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.config.PatchOutcome;
import org.hemlockgw.core.platform.LogService;

/**
 * Appends a patch and learns its outcome from the stream. If the append's response is
 * lost, the patch is searched by its identifier and appended again if it is not there; a
 * second copy is ignored by all readers.
 */
final class PatchSubmitter {

	private final LogService log;

	private final ConfigStreamReader stream;

	private final long deadlineNanos;

	private boolean mayBeAppended;

	PatchSubmitter(LogService log, Duration timeout) {
		this.log = log;
		this.stream = new ConfigStreamReader(log);
		this.deadlineNanos = System.nanoTime() + timeout.toNanos();
	}

	/**
	 * Submits a patch.
	 * @param patch the patch
	 * @return whether it was accepted, and why not
	 * @throws CommandFailure if the log stays unavailable
	 */
	PatchOutcome submit(ConfigPatch patch) {
		byte[] data = ConfigCodec.encode(patch);
		boolean appended = false;
		String fault = "";
		while (System.nanoTime() < this.deadlineNanos) {
			try {
				if (!appended) {
					Await.result(this.log.append(ConfigStreamReader.NAME, data), Timeouts.REQUEST);
					appended = true;
					this.mayBeAppended = true;
				}
			}
			catch (CallFailure ex) {
				fault = ex.getMessage();
				this.mayBeAppended |= ex.verdict() != Verdict.NOT_RUN;
			}
			Optional<PatchOutcome> outcome = this.mayBeAppended ? find(patch.id()) : Optional.empty();
			if (outcome.isPresent()) {
				return outcome.get();
			}
			Await.pause(Timeouts.RETRY);
		}
		if (!this.mayBeAppended) {
			throw CommandFailure.failed("Patch " + patch.id() + " was not appended: " + fault);
		}
		throw CommandFailure.failed("The outcome of patch " + patch.id()
				+ " is unknown; it may still take effect. Look for it with 'hemlockctl config log'. " + fault);
	}

	private Optional<PatchOutcome> find(String id) {
		try {
			return Await.result(this.stream.load(), Timeouts.REQUEST).history().find(id);
		}
		catch (CallFailure ex) {
			return Optional.empty();
		}
	}

}

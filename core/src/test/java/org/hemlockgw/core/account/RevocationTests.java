package org.hemlockgw.core.account;

import java.util.EnumMap;
import java.util.Map;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of revoked keys over histories of faults.
 */
class RevocationTests {

	private static final int HISTORIES = 300;

	// Guards against requests that run with a key that was revoked too long ago, at a
	// daemon that is cut off, frozen, suspended, restarted, or whose clock was set.
	@Property(seed = "5000", tries = HISTORIES)
	void revokedKeyIsNotAcceptedAfterTheLimit(@ForAll long seed) {
		RevocationModel model = new RevocationModel(seed, RevocationModel.Fault.NONE);
		model.run();
		assertThat(model.violations).isEqualTo(0);
		assertThat(model.acceptedBefore).isGreaterThan(0);
	}

	// Guards against a model that misses faults: each planted fault must lead to requests
	// with a revoked key, and the histories without one must use all paths.
	@Example
	void modelDetectsPlantedFaults() {
		Map<RevocationModel.Fault, Integer> violations = new EnumMap<>(RevocationModel.Fault.class);
		int peerProofs = 0;
		int refused = 0;
		int acceptedAfter = 0;
		for (RevocationModel.Fault fault : RevocationModel.Fault.values()) {
			for (int seed = 0; seed < HISTORIES; seed++) {
				RevocationModel model = new RevocationModel(seed, fault);
				model.run();
				violations.merge(fault, model.violations, Integer::sum);
				peerProofs += model.peerProofs;
				refused += model.refusedAsUnproven;
				acceptedAfter += model.acceptedAfter;
			}
		}
		violations.forEach((fault, count) -> {
			if (fault == RevocationModel.Fault.NONE) {
				assertThat(count).isEqualTo(0);
			}
			else {
				assertWithMessage(fault.name()).that(count).isGreaterThan(0);
			}
		});
		assertThat(Math.min(peerProofs, Math.min(refused, acceptedAfter))).isGreaterThan(0);
	}

}

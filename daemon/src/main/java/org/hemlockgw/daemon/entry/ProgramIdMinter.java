package org.hemlockgw.daemon.entry;

import java.security.SecureRandom;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.control.Ownership;
import org.hemlockgw.core.membership.Vm;

/**
 * Generates program identifiers.
 */
final class ProgramIdMinter {

	/**
	 * With nine data centres a random shard is in the own one in a ninth of the cases, so
	 * 64 attempts fail about once in 2,000.
	 */
	private static final int MAX_ATTEMPTS = 64;

	private static final int NAME_LENGTH = 20;

	private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz234567";

	/** Child numbers are random, because the entry does not know which are taken. */
	private static final long MAX_CHILD = 1_000_000_000_000_000L;

	private final SecureRandom random = new SecureRandom();

	private final Blackboard blackboard;

	private final String dataCentre;

	ProgramIdMinter(Blackboard blackboard, String dataCentre) {
		this.blackboard = blackboard;
		this.dataCentre = dataCentre;
	}

	ProgramId root(String account) {
		ProgramId id = random(account);
		for (int attempt = 1; attempt < MAX_ATTEMPTS && !isOwnedHere(id); attempt++) {
			id = random(account);
		}
		return id;
	}

	ProgramId child(ProgramId parent) {
		return new ProgramId(parent.account(), parent.name() + "." + this.random.nextLong(1, MAX_CHILD));
	}

	private ProgramId random(String account) {
		StringBuilder name = new StringBuilder(NAME_LENGTH);
		for (int i = 0; i < NAME_LENGTH; i++) {
			name.append(ALPHABET.charAt(this.random.nextInt(ALPHABET.length())));
		}
		return new ProgramId(account, name.toString());
	}

	private boolean isOwnedHere(ProgramId id) {
		Ownership holder = this.blackboard.control().get().shardOwnership(id.shard());
		Incarnation incarnation = holder.incarnation();
		if (incarnation == null || !holder.ready()) {
			return false;
		}
		Vm vm = this.blackboard.vms().get().get(incarnation.vm());
		return vm != null && vm.dataCentre().equals(this.dataCentre);
	}

}

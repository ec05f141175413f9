package org.hemlockgw.core.program;

import java.util.List;

import org.hemlockgw.core.ledger.LedgerRecord;

/**
 * A new state of a program and the ledger records that produce it.
 *
 * @param state the new state
 * @param records records to write, in order
 */
public record Transition(ProgramSnapshot state, List<LedgerRecord.OfProgram> records) {

	public Transition {
		records = List.copyOf(records);
	}

}

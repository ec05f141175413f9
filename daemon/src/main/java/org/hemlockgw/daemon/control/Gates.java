package org.hemlockgw.daemon.control;

/**
 * One gate for each kind of append of an incarnation.
 *
 * @param started gate of the start
 * @param claimShards gate of claims of shards
 * @param releaseShards gate of releases of shards
 * @param claimEngines gate of claims of engines
 * @param releaseEngines gate of releases of engines
 * @param draining gate of the notice of a shutdown
 */
record Gates(Gate started, Gate claimShards, Gate releaseShards, Gate claimEngines, Gate releaseEngines,
		Gate draining) {

	static Gates create(Object lock) {
		return new Gates(new Gate(lock), new Gate(lock), new Gate(lock), new Gate(lock), new Gate(lock),
				new Gate(lock));
	}

}

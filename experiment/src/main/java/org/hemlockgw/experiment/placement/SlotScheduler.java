package org.hemlockgw.experiment.placement;

import java.util.List;
import java.util.function.Consumer;

import org.hemlockgw.core.pool.PoolMember;
import org.hemlockgw.core.pool.PoolScheduler;
import org.hemlockgw.core.pool.ResponseTiming;
import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;

/**
 * Scheduler of a pool under measurement.
 */
interface SlotScheduler {

	void updateServers(List<PoolMember> members);

	void submit(SlotRequest request, Consumer<SlotDecision> answer);

	void release(String id, ResponseTiming timing);

	void expireOverdue();

	/**
	 * Returns the scheduler of the product.
	 * @param scheduler the scheduler
	 * @return adapter
	 */
	static SlotScheduler of(PoolScheduler scheduler) {
		return new SlotScheduler() {
			@Override
			public void updateServers(List<PoolMember> members) {
				scheduler.updateServers(members);
			}

			@Override
			public void submit(SlotRequest request, Consumer<SlotDecision> answer) {
				scheduler.submit(request, answer);
			}

			@Override
			public void release(String id, ResponseTiming timing) {
				scheduler.release(id, timing, false);
			}

			@Override
			public void expireOverdue() {
				scheduler.expireOverdue();
			}
		};
	}

}

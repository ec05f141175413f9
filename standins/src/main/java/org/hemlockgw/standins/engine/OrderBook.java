package org.hemlockgw.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Orders that the engine accepted, and the highest fencing number seen.
 */
final class OrderBook {

	private static final int MAX_ORDERS = 1_000;

	private final Deque<Order> orders = new ArrayDeque<>();

	private long highestFencing;

	/**
	 * Accepts an order.
	 * @param order the order
	 * @param checksFencing whether an old fencing number is rejected
	 * @return whether the order was accepted
	 */
	synchronized boolean accept(Order order, boolean checksFencing) {
		if (checksFencing && order.fencing() < this.highestFencing) {
			return false;
		}
		this.highestFencing = Math.max(this.highestFencing, order.fencing());
		this.orders.add(order);
		if (this.orders.size() > MAX_ORDERS) {
			this.orders.removeFirst();
		}
		return true;
	}

	synchronized List<Order> orders() {
		return List.copyOf(this.orders);
	}

	synchronized long highestFencing() {
		return this.highestFencing;
	}

	/**
	 * An order to an engine.
	 *
	 * @param kind what to do
	 * @param argument what to do it with
	 * @param fencing epoch of the sender's claim
	 */
	record Order(String kind, String argument, long fencing) {
	}

}

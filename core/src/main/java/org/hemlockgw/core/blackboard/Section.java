package org.hemlockgw.core.blackboard;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * One immutable value that a single controller replaces and any thread reads without
 * locks.
 *
 * @param <T> type of the value; must be immutable
 */
public final class Section<T> {

	private final AtomicReference<T> value;

	private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();

	public Section(T initial) {
		this.value = new AtomicReference<>(initial);
	}

	public T get() {
		return Objects.requireNonNull(this.value.get());
	}

	/**
	 * Replaces the value and notifies listeners on the calling thread.
	 * @param change computes the new value; may be called more than once
	 * @return the new value
	 */
	public T update(UnaryOperator<T> change) {
		T next = Objects.requireNonNull(this.value.updateAndGet(change));
		this.listeners.forEach((listener) -> listener.accept(next));
		return next;
	}

	public void set(T next) {
		update((old) -> next);
	}

	public void addListener(Consumer<T> listener) {
		this.listeners.add(listener);
	}

}

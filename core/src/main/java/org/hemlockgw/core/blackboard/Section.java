package org.hemlockgw.core.blackboard;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * An immutable value that a controller replaces as a whole and any thread can read
 * without locks.
 *
 * @param <T> value type, which must be immutable
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
	 * Replaces the value and notifies the listeners on the calling thread.
	 * @param change computes the new value from the old one; may be called more than once
	 * @return the new value
	 */
	public T update(UnaryOperator<T> change) {
		T next = Objects.requireNonNull(this.value.updateAndGet(change));
		this.listeners.forEach((listener) -> listener.accept(next));
		return next;
	}

	public void set(T next) {
		update((previous) -> next);
	}

	public void addListener(Consumer<T> listener) {
		this.listeners.add(listener);
	}

}

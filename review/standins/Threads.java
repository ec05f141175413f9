package review;

/**
 * Helpers for threads.
 */
final class Threads {

	private Threads() {
	}

	static Thread start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(Math.max(0, ms));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}

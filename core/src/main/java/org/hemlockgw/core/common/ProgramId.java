package org.hemlockgw.core.common;

import java.util.regex.Pattern;

/**
 * Identifies a program within its client account. Equal names under two client accounts
 * are different programs.
 *
 * @param account name of the client account
 * @param name {@code root} or, for a sub-agent, {@code parent.n}
 */
public record ProgramId(String account, String name) {

	/** Longest accepted name, in characters. */
	public static final int MAX_NAME_LENGTH = 128;

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_-]+(\\.[0-9]+)*");

	public ProgramId {
		if (name.length() > MAX_NAME_LENGTH || !NAME.matcher(name).matches()) {
			throw new IllegalArgumentException("program id must be letters, digits, '_' and '-', then '.n' for each "
					+ "level of sub-agent, at most " + MAX_NAME_LENGTH + " characters; was '" + name + "'");
		}
	}

	/**
	 * Returns the name of the tree's root program.
	 * @return the part before the first dot
	 */
	public String rootName() {
		int dot = this.name.indexOf('.');
		return (dot < 0) ? this.name : this.name.substring(0, dot);
	}

	/**
	 * Returns the depth in the tree of sub-agents.
	 * @return 0 for a root program
	 */
	public int depth() {
		return (int) this.name.chars().filter((c) -> c == '.').count();
	}

	public ProgramId child(int n) {
		return new ProgramId(this.account, this.name + "." + n);
	}

	/**
	 * Returns the shard of the whole tree, so that a child's budget is carved out of its
	 * parent's by one owner.
	 * @return the shard
	 */
	public ShardId shard() {
		long h = StableHash.combine(StableHash.of(this.account), StableHash.of(rootName()));
		return new ShardId((int) Long.remainderUnsigned(h, ShardId.COUNT));
	}

	/**
	 * Returns the name of the engine cache session.
	 * @return account and name, which is unique across client accounts
	 */
	public String sessionName() {
		return this.account + "/" + this.name;
	}

	@Override
	public String toString() {
		return sessionName();
	}

}

package org.hemlockgw.core.common;

import java.util.regex.Pattern;

/**
 * Identifier of a program. The same name in two client accounts denotes two different
 * programs.
 *
 * @param account name of the client account
 * @param name name of a root program, or {@code parent.n} for the n-th sub-agent of a
 * program
 */
public record ProgramId(String account, String name) {

	/** Maximum length of a name, in characters. */
	public static final int MAX_NAME_LENGTH = 128;

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_-]+(\\.[0-9]+)*");

	public ProgramId {
		if (name.length() > MAX_NAME_LENGTH || !NAME.matcher(name).matches()) {
			throw new IllegalArgumentException("program id must be letters, digits, '_' and '-', then '.n' for each "
					+ "level of sub-agent, at most " + MAX_NAME_LENGTH + " characters; was '" + name + "'");
		}
	}

	/**
	 * Returns the name of the root program of the tree.
	 * @return the part before the first dot
	 */
	public String rootName() {
		int dot = this.name.indexOf('.');
		return (dot < 0) ? this.name : this.name.substring(0, dot);
	}

	/**
	 * Returns the depth of the program in the tree of sub-agents.
	 * @return 0 for a root program
	 */
	public int depth() {
		return (int) this.name.chars().filter((c) -> c == '.').count();
	}

	public ProgramId child(int n) {
		return new ProgramId(this.account, this.name + "." + n);
	}

	/**
	 * Returns the shard of the program. All programs of a tree are in the same shard, so
	 * that a single owner can take the budget of a child from its parent's budget.
	 * @return the shard
	 */
	public ShardId shard() {
		long h = StableHash.combine(StableHash.of(this.account), StableHash.of(rootName()));
		return new ShardId((int) Long.remainderUnsigned(h, ShardId.COUNT));
	}

	/**
	 * Returns the name of the cache session on engines.
	 * @return account and program name, which is unique across client accounts
	 */
	public String sessionName() {
		return this.account + "/" + this.name;
	}

	@Override
	public String toString() {
		return sessionName();
	}

}

package org.hemlockgw.daemon.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramView;

/**
 * Opens, shows and ends programs.
 */
final class ProgramEndpoint {

	private final EntryContext context;

	private final ProgramIdMinter minter;

	ProgramEndpoint(EntryContext context) {
		this.context = context;
		this.minter = new ProgramIdMinter(context.blackboard(), context.dataCentre());
	}

	void open(Exchange exchange, ClientAccount account) throws IOException {
		JsonFields fields = JsonFields.parse(exchange.body());
		Limits limits = this.context.blackboard().configuration().get().limits();
		long budget = fields.requiredLong("budget_tokens", 1, account.programBudgetTokens());
		int maxTurns = (int) fields.optionalLong("max_turns", 1, limits.maxTurns(), limits.maxTurns());
		long maxSeconds = limits.maxWallTime().toSeconds();
		Duration maxWallTime = Duration.ofSeconds(fields.optionalLong("max_wall_time_s", 1, maxSeconds, maxSeconds));
		OpenProgram command = new OpenProgram(id(fields, account), budget, maxTurns, maxWallTime);
		exchange.json(201, view(await(this.context.programs().open(command))));
	}

	void get(Exchange exchange, ClientAccount account, String name) {
		ProgramId id = CallHeaders.programId("program id", account.name(), name);
		exchange.json(200, view(await(this.context.programs().get(id))));
	}

	void end(Exchange exchange, ClientAccount account, String name) {
		ProgramId id = CallHeaders.programId("program id", account.name(), name);
		exchange.json(200, view(await(this.context.programs().end(id))));
	}

	private ProgramId id(JsonFields fields, ClientAccount account) {
		String parentName = fields.optionalText("parent");
		String name = fields.optionalText("id");
		ProgramId parent = (parentName != null) ? CallHeaders.programId("parent", account.name(), parentName) : null;
		if (name == null) {
			return (parent != null) ? this.minter.child(parent) : this.minter.root(account.name());
		}
		ProgramId id = CallHeaders.programId("id", account.name(), name);
		String allowed = (parent != null) ? "'" + parentName + ".n' with a number n"
				: "a name without a dot unless parent is given";
		boolean matches = (parent != null) ? name.startsWith(parentName + ".") && id.depth() == parent.depth() + 1
				: id.depth() == 0;
		if (!matches) {
			throw JsonFields.bad("id", name, allowed);
		}
		return id;
	}

	private static ProgramView await(CompletableFuture<ProgramView> future) {
		try {
			return future.join();
		}
		catch (RuntimeException ex) {
			throw CallFailure.of(ex);
		}
	}

	private static ObjectNode view(ProgramView program) {
		ObjectNode body = JsonFields.mapper().createObjectNode();
		body.put("id", program.id().name());
		body.put("budget_tokens", program.budgetTokens());
		body.put("spent_tokens", program.spentTokens());
		body.put("state", program.state().name().toLowerCase(Locale.ROOT));
		body.put("turns", program.turns());
		return body;
	}

}

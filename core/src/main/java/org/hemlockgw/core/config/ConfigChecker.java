package org.hemlockgw.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Turns a document into a {@link Configuration} or a list of all its errors. All readers
 * of the configuration stream must come to the same result, so the checks depend on the
 * document alone.
 */
public final class ConfigChecker {

	// Names are parts of key paths and of URL paths, so they hold no dot and no slash.
	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9_-]{0,62}");

	private static final String NAME_ALLOWED = "1 to 63 of a-z, 0-9, _ and -, beginning with a letter or digit";

	private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}");

	private static final String MODEL_ALLOWED = "a model name of 1 to 128 of A-Z, a-z, 0-9 and . _ / : -";

	private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

	private static final double MAX_WEIGHT = 1000;

	private static final long MAX_TOKENS = 1_000_000_000_000L;

	private static final Duration MIN_TIME = Duration.ofSeconds(1);

	private static final Duration MAX_TIME = Duration.ofDays(30);

	private static final Duration MAX_CALL_TIME = Duration.ofHours(1);

	private final List<ConfigError> errors = new ArrayList<>();

	private final DocumentReader root;

	private ConfigChecker(JsonNode document) {
		this.root = new DocumentReader(document, "", this.errors);
	}

	/**
	 * Checks a document.
	 * @param version version that the configuration gets
	 * @param document the document
	 * @return the configuration, or all errors
	 */
	public static CheckResult check(long version, JsonNode document) {
		return new ConfigChecker(document).check(version);
	}

	private CheckResult check(long version) {
		Policy policy = choice(this.root, "policy", Policy.class, "latency_first").orElse(Policy.LATENCY_FIRST);
		Limits limits = limits(this.root.object("limits"));
		Map<String, DataCentre> dataCentres = dataCentres();
		Map<String, BackendServer> backendServers = backendServers(dataCentres.keySet());
		Map<String, ClientAccount> clientAccounts = clientAccounts(backendServers.values());
		this.root.rejectUnknownKeys();
		if (!this.errors.isEmpty()) {
			return new CheckResult(null, this.errors);
		}
		return new CheckResult(new Configuration(version, policy, limits, clientAccounts, dataCentres, backendServers),
				List.of());
	}

	private Limits limits(DocumentReader r) {
		Limits d = Limits.DEFAULT;
		Limits limits = new Limits((int) r.integer("max_turns", 1, 10_000, (long) d.maxTurns()),
				(int) r.integer("max_depth", 0, 32, (long) d.maxDepth()),
				r.duration("max_wall_time", MIN_TIME, MAX_TIME, d.maxWallTime()),
				r.duration("idle_timeout", MIN_TIME, MAX_TIME, d.idleTimeout()),
				r.duration("model_timeout", MIN_TIME, MAX_CALL_TIME, d.modelTimeout()),
				r.duration("service_timeout", MIN_TIME, MAX_CALL_TIME, d.serviceTimeout()),
				(int) r.integer("max_queued_per_engine", 1, 100_000, (long) d.maxQueuedPerEngine()));
		r.rejectUnknownKeys();
		return limits;
	}

	private Map<String, DataCentre> dataCentres() {
		Map<String, DataCentre> result = new LinkedHashMap<>();
		names("data_centres").forEach((name, r) -> {
			result.put(name, new DataCentre(name, r.text("region", ConfigChecker::isName, NAME_ALLOWED, null)));
			r.rejectUnknownKeys();
		});
		return result;
	}

	private Map<String, BackendServer> backendServers(Set<String> dataCentres) {
		Map<String, BackendServer> result = new LinkedHashMap<>();
		Map<String, String> addresses = new HashMap<>();
		names("backend_servers").forEach((name, r) -> {
			BackendServer server = backendServer(name, r, dataCentres);
			// Two names for one server would break the count of its requests in flight.
			String other = addresses.putIfAbsent(server.address(), name);
			if (other != null && !server.address().isEmpty()) {
				r.addError("address", "an address that no other backend server has; " + other + " has it");
			}
			result.put(name, server);
		});
		return result;
	}

	private BackendServer backendServer(String name, DocumentReader r, Set<String> dataCentres) {
		BackendKind kind = choice(r, "kind", BackendKind.class, null).orElse(null);
		boolean engine = kind == BackendKind.ENGINE;
		boolean service = kind == BackendKind.SERVICE;
		String address = r.text("address", (text) -> IpAndPort.isValid(text, 1), IpAndPort.ALLOWED, null);
		String dataCentre = r.text("data_centre", dataCentres::contains, oneOf("data centre", dataCentres), null);
		Set<String> models = r.textSet("models", (text) -> MODEL.matcher(text).matches(), MODEL_ALLOWED);
		if (engine && models.isEmpty()) {
			r.addError("models", "at least one model for an engine");
		}
		if (service && !models.isEmpty()) {
			r.addError("models", "models of an engine only");
		}
		boolean checksFencing = r.booleanValue("checks_fencing", false);
		if (service && checksFencing) {
			r.addError("checks_fencing", "true for an engine only");
		}
		boolean leaving = r.booleanValue("leaving", false);
		int maxInFlight = (int) r.integer("max_in_flight", 1, 4096, 16L);
		long cacheTokens = cacheTokens(r, kind);
		r.rejectUnknownKeys();
		return new BackendServer(name, service ? BackendKind.SERVICE : BackendKind.ENGINE, address, dataCentre,
				Set.copyOf(models), checksFencing, leaving, maxInFlight, cacheTokens);
	}

	private static long cacheTokens(DocumentReader r, @Nullable BackendKind kind) {
		if (kind == BackendKind.SERVICE) {
			return r.integer("cache_tokens", 0, 0, 0L);
		}
		// An unknown kind is an error already; it causes no second one here.
		return r.integer("cache_tokens", 1, MAX_TOKENS, (kind != null) ? null : 1L);
	}

	private Map<String, ClientAccount> clientAccounts(Iterable<BackendServer> backendServers) {
		Set<String> served = new HashSet<>();
		Set<String> services = new HashSet<>();
		for (BackendServer server : backendServers) {
			served.addAll(server.models());
			if (server.kind() == BackendKind.SERVICE) {
				services.add(server.name());
			}
		}
		Map<String, ClientAccount> result = new LinkedHashMap<>();
		Map<String, String> keyHolders = new HashMap<>();
		// Built once, not for each account, because the names are sorted.
		String modelsAllowed = oneOf("model that an engine serves", served);
		String servicesAllowed = oneOf("plain service", services);
		names("client_accounts").forEach((name, r) -> {
			double weight = r.positiveNumber("weight", MAX_WEIGHT, 1.0);
			Set<String> keys = keys(name, r, keyHolders);
			long budget = r.integer("program_budget_tokens", 1, MAX_TOKENS, null);
			int maxPrograms = (int) r.integer("max_programs", 1, 1_000_000, 256L);
			Set<String> models = r.textSet("models", served::contains, modelsAllowed);
			Set<String> callable = r.textSet("services", services::contains, servicesAllowed);
			r.rejectUnknownKeys();
			result.put(name, new ClientAccount(name, weight, Set.copyOf(keys), budget, maxPrograms, Set.copyOf(models),
					Set.copyOf(callable)));
		});
		return result;
	}

	private Set<String> keys(String account, DocumentReader r, Map<String, String> holders) {
		Set<String> keys = r.textSet("key_sha256", (text) -> SHA256.matcher(text).matches(),
				"64 lower-case hex digits, the SHA-256 hash of a key");
		for (String key : keys) {
			String other = holders.putIfAbsent(key, account);
			if (other != null) {
				this.errors.add(new ConfigError(r.pathOf("key_sha256"), '"' + key + '"',
						"a key hash that no other client account has; " + other + " has it"));
			}
		}
		return keys;
	}

	private Map<String, DocumentReader> names(String key) {
		return this.root.entries(key, ConfigChecker::isName, NAME_ALLOWED);
	}

	private static boolean isName(String text) {
		return NAME.matcher(text).matches();
	}

	private static <E extends Enum<E>> Optional<E> choice(DocumentReader r, String key, Class<E> type,
			@Nullable String fallback) {
		Map<String, E> values = new LinkedHashMap<>();
		for (E value : type.getEnumConstants()) {
			values.put(value.name().toLowerCase(Locale.ROOT), value);
		}
		String text = r.text(key, values::containsKey, String.join(" or ", values.keySet()), fallback);
		return Optional.ofNullable(values.get(text));
	}

	private static String oneOf(String what, Set<String> names) {
		if (names.isEmpty()) {
			return "the name of a " + what + "; the document has none";
		}
		List<String> sorted = names.stream().sorted().toList();
		if (sorted.size() > 20) {
			return "the name of a " + what + "; the document has " + sorted.size();
		}
		return "the name of a " + what + ": " + String.join(", ", sorted);
	}

}

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
 * Validates a document and converts it to a {@link Configuration}, or returns all its
 * errors. All readers of the configuration stream must get the same result, so the checks
 * depend only on the document.
 */
public final class ConfigChecker {

	// Names are used in key paths and in URL paths, so they contain no dot and no slash.
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
	 * Validates a document.
	 * @param version version to assign to the configuration
	 * @param document the document
	 * @return the configuration, or all errors
	 */
	public static CheckResult check(long version, JsonNode document) {
		return new ConfigChecker(document).check(version);
	}

	private CheckResult check(long version) {
		Policy policy = enumValue(this.root, "policy", Policy.class, "latency_first").orElse(Policy.LATENCY_FIRST);
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

	private Limits limits(DocumentReader reader) {
		Limits defaults = Limits.DEFAULT;
		Limits limits = new Limits((int) reader.integer("max_turns", 1, 10_000, (long) defaults.maxTurns()),
				(int) reader.integer("max_depth", 0, 32, (long) defaults.maxDepth()),
				reader.duration("max_wall_time", MIN_TIME, MAX_TIME, defaults.maxWallTime()),
				reader.duration("idle_timeout", MIN_TIME, MAX_TIME, defaults.idleTimeout()),
				reader.duration("model_timeout", MIN_TIME, MAX_CALL_TIME, defaults.modelTimeout()),
				reader.duration("service_timeout", MIN_TIME, MAX_CALL_TIME, defaults.serviceTimeout()),
				(int) reader.integer("max_queued_per_engine", 1, 100_000, (long) defaults.maxQueuedPerEngine()));
		reader.rejectUnknownKeys();
		return limits;
	}

	private Map<String, DataCentre> dataCentres() {
		Map<String, DataCentre> result = new LinkedHashMap<>();
		names("data_centres").forEach((name, reader) -> {
			result.put(name, new DataCentre(name, reader.text("region", ConfigChecker::isName, NAME_ALLOWED, null)));
			reader.rejectUnknownKeys();
		});
		return result;
	}

	private Map<String, BackendServer> backendServers(Set<String> dataCentres) {
		Map<String, BackendServer> result = new LinkedHashMap<>();
		Map<String, String> addresses = new HashMap<>();
		names("backend_servers").forEach((name, reader) -> {
			BackendServer server = backendServer(name, reader, dataCentres);
			// With two names for one server, its requests in flight would be counted
			// separately.
			String otherServer = addresses.putIfAbsent(server.address(), name);
			if (otherServer != null && !server.address().isEmpty()) {
				reader.addError("address", "an address that no other backend server has; " + otherServer + " has it");
			}
			result.put(name, server);
		});
		return result;
	}

	private BackendServer backendServer(String name, DocumentReader reader, Set<String> dataCentres) {
		BackendKind kind = enumValue(reader, "kind", BackendKind.class, null).orElse(null);
		boolean engine = kind == BackendKind.ENGINE;
		boolean service = kind == BackendKind.SERVICE;
		String address = reader.text("address", (text) -> IpAndPort.isValid(text, 1), IpAndPort.ALLOWED, null);
		String dataCentre = reader.text("data_centre", dataCentres::contains, oneOf("data centre", dataCentres), null);
		Set<String> models = reader.textSet("models", (text) -> MODEL.matcher(text).matches(), MODEL_ALLOWED);
		if (engine && models.isEmpty()) {
			reader.addError("models", "at least one model for an engine");
		}
		if (service && !models.isEmpty()) {
			reader.addError("models", "models of an engine only");
		}
		boolean checksFencing = reader.booleanValue("checks_fencing", false);
		if (service && checksFencing) {
			reader.addError("checks_fencing", "true for an engine only");
		}
		boolean leaving = reader.booleanValue("leaving", false);
		int maxInFlight = (int) reader.integer("max_in_flight", 1, 4096, 16L);
		long cacheTokens = cacheTokens(reader, kind);
		reader.rejectUnknownKeys();
		return new BackendServer(name, service ? BackendKind.SERVICE : BackendKind.ENGINE, address, dataCentre,
				Set.copyOf(models), checksFencing, leaving, maxInFlight, cacheTokens);
	}

	private static long cacheTokens(DocumentReader reader, @Nullable BackendKind kind) {
		if (kind == BackendKind.SERVICE) {
			return reader.integer("cache_tokens", 0, 0, 0L);
		}
		// An unknown kind has already been reported, so it causes no second error here.
		return reader.integer("cache_tokens", 1, MAX_TOKENS, (kind != null) ? null : 1L);
	}

	private Map<String, ClientAccount> clientAccounts(Iterable<BackendServer> backendServers) {
		Set<String> servedModels = new HashSet<>();
		Set<String> services = new HashSet<>();
		for (BackendServer server : backendServers) {
			servedModels.addAll(server.models());
			if (server.kind() == BackendKind.SERVICE) {
				services.add(server.name());
			}
		}
		Map<String, ClientAccount> result = new LinkedHashMap<>();
		Map<String, String> keyOwners = new HashMap<>();
		// Built once rather than for each account because building sorts the names.
		String modelsAllowed = oneOf("model that an engine serves", servedModels);
		String servicesAllowed = oneOf("plain service", services);
		names("client_accounts").forEach((name, reader) -> {
			double weight = reader.positiveNumber("weight", MAX_WEIGHT, 1.0);
			Set<String> keys = keys(name, reader, keyOwners);
			long budget = reader.integer("program_budget_tokens", 1, MAX_TOKENS, null);
			int maxPrograms = (int) reader.integer("max_programs", 1, 1_000_000, 256L);
			Set<String> models = reader.textSet("models", servedModels::contains, modelsAllowed);
			Set<String> callableServices = reader.textSet("services", services::contains, servicesAllowed);
			reader.rejectUnknownKeys();
			result.put(name, new ClientAccount(name, weight, Set.copyOf(keys), budget, maxPrograms, Set.copyOf(models),
					Set.copyOf(callableServices)));
		});
		return result;
	}

	private Set<String> keys(String account, DocumentReader reader, Map<String, String> keyOwners) {
		Set<String> keys = reader.textSet("key_sha256", (text) -> SHA256.matcher(text).matches(),
				"64 lower-case hex digits, the SHA-256 hash of a key");
		for (String key : keys) {
			String otherAccount = keyOwners.putIfAbsent(key, account);
			if (otherAccount != null) {
				this.errors.add(new ConfigError(reader.pathOf("key_sha256"), '"' + key + '"',
						"a key hash that no other client account has; " + otherAccount + " has it"));
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

	private static <E extends Enum<E>> Optional<E> enumValue(DocumentReader reader, String key, Class<E> type,
			@Nullable String fallback) {
		Map<String, E> values = new LinkedHashMap<>();
		for (E value : type.getEnumConstants()) {
			values.put(value.name().toLowerCase(Locale.ROOT), value);
		}
		String text = reader.text(key, values::containsKey, String.join(" or ", values.keySet()), fallback);
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

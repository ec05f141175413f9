package org.hemlockgw.core.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Validation of socket addresses of the form {@code IP address:port}. Host names are not
 * allowed because the system does not resolve names.
 */
public final class IpAndPort {

	/** Description of a valid address to connect to, for error messages. */
	public static final String ALLOWED = "IP number and port 1 to 65535, such as 10.0.0.1:8080 or [fd00::1]:8080";

	/** Description of a valid address to listen on, for error messages. */
	public static final String ALLOWED_LISTENER = "IP number and port 0 to 65535 (0 = chosen by the system), "
			+ "such as 10.0.0.1:8080 or [fd00::1]:8080";

	private static final int MAX_PORT = 65_535;

	private static final Pattern V4 = Pattern.compile(
			"((?:(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)\\.){3}(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)):(\\d{1,5})");

	private static final Pattern V6 = Pattern.compile("\\[([0-9a-fA-F:]{2,39})\\]:(\\d{1,5})");

	private static final Pattern V6_GROUP = Pattern.compile("[0-9a-fA-F]{1,4}");

	private static final int V6_GROUPS = 8;

	private IpAndPort() {
	}

	/**
	 * Validates an address.
	 * @param text the address
	 * @param minPort lowest port allowed
	 * @return whether the text is an IP address and a port in the allowed range
	 */
	public static boolean isValid(String text, int minPort) {
		Matcher v4 = V4.matcher(text);
		if (v4.matches()) {
			return isPort(v4.group(2), minPort);
		}
		Matcher v6 = V6.matcher(text);
		return v6.matches() && isPort(v6.group(2), minPort) && isV6(v6.group(1));
	}

	private static boolean isPort(String text, int min) {
		int port = Integer.parseInt(text);
		return port >= min && port <= MAX_PORT;
	}

	private static boolean isV6(String text) {
		int doubleColon = text.indexOf("::");
		if (doubleColon < 0) {
			return countV6Groups(text) == V6_GROUPS;
		}
		int before = (doubleColon == 0) ? 0 : countV6Groups(text.substring(0, doubleColon));
		String rest = text.substring(doubleColon + 2);
		int after = rest.isEmpty() ? 0 : countV6Groups(rest);
		return before >= 0 && after >= 0 && before + after < V6_GROUPS;
	}

	// Returns the number of groups, or -1 if one of them is malformed.
	private static int countV6Groups(String text) {
		String[] parts = text.split(":", -1);
		for (String part : parts) {
			if (!V6_GROUP.matcher(part).matches()) {
				return -1;
			}
		}
		return parts.length;
	}

}

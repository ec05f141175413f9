package org.hemlockgw.gateway.slots;

/**
 * Process of a backend server to which a request is sent.
 *
 * @param server identifier of the server; a later process may have the same one
 * @param address IP address and port
 * @param startedAtMs start of the process in milliseconds since the epoch; 0 if unknown
 */
public record ServerProcess(String server, String address, long startedAtMs) {

}

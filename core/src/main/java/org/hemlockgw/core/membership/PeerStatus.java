package org.hemlockgw.core.membership;

import org.hemlockgw.core.common.Incarnation;

/**
 * Answer to a heartbeat.
 *
 * @param incarnation incarnation of the daemon that answered
 * @param configurationVersion configuration version in force there
 */
public record PeerStatus(Incarnation incarnation, long configurationVersion) {
}

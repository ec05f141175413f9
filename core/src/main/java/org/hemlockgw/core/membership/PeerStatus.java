package org.hemlockgw.core.membership;

import org.hemlockgw.core.common.Incarnation;

/**
 * Response to a heartbeat.
 *
 * @param incarnation incarnation of the daemon that responded
 * @param configurationVersion configuration version in effect on that daemon
 */
public record PeerStatus(Incarnation incarnation, long configurationVersion) {
}

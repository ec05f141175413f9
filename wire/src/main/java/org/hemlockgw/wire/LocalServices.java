package org.hemlockgw.wire;

import java.util.function.Supplier;

import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.program.ProgramService;

/**
 * What a daemon does for its peers.
 *
 * @param programs the program owner of this daemon
 * @param dispatcher the dispatcher of this daemon
 * @param configuration the configuration document in force
 */
public record LocalServices(ProgramService programs, Dispatcher dispatcher, Supplier<byte[]> configuration) {
}

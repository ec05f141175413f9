package org.hemlockgw.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.membership.Vm;

/**
 * The platform's list of VMs. It lags behind reality.
 */
@FunctionalInterface
public interface VmList {

	CompletableFuture<List<Vm>> list();

}

package org.hemlockgw.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.membership.Vm;

/**
 * Client of the platform's VM list. The list lags behind the actual state of the VMs.
 */
@FunctionalInterface
public interface VmList {

	CompletableFuture<List<Vm>> list();

}

package org.hemlockgw.experiment.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;

import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.remote.HttpVmList;
import org.hemlockgw.standins.vmlist.VmEntry;
import org.hemlockgw.standins.vmlist.VmListOptions;
import org.hemlockgw.standins.vmlist.VmListServer;

/**
 * Bytes of the VM list and the processor time that a client spends to read it.
 */
final class VmListSlope implements Slope {

	private static final int[] SIZES = { 24, Samples.DAEMONS, 1000, Samples.DAEMONS + Samples.ENGINES };

	private static final int READS = 20;

	@Override
	public String name() {
		return "vmlist";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		ObjectMapper mapper = new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
		Series bytes = Series.measure("vmlist.bytes", "bytes", "VMs", SIZES,
				(n) -> mapper.writeValueAsBytes(Map.of("vms", entries(n))).length);
		Series cpu = Series.measure("vmlist.cpu", "us", "VMs", SIZES, (n) -> cpuUs(measure, n));
		return List.of(bytes, cpu);
	}

	private static double cpuUs(Measure measure, int size) {
		try (VmListServer server = new VmListServer(VmListOptions.DEFAULT, "127.0.0.1:0")) {
			server.start();
			entries(size).forEach((entry) -> server.put(String.valueOf(entry.name()), entry));
			// Runs the request on this thread, so that its processor time is the
			// client's.
			Executor direct = Runnable::run;
			HttpVmList client = new HttpVmList(server.address(), direct);
			for (int i = 0; i < READS; i++) {
				client.list().join();
			}
			return measure.median(() -> {
				long start = Measure.threadCpuNs();
				for (int i = 0; i < READS; i++) {
					client.list().join();
				}
				return (Measure.threadCpuNs() - start) / 1000.0 / READS;
			});
		}
	}

	private static List<VmEntry> entries(int size) {
		int daemons = Math.min(size / 2, Samples.DAEMONS);
		return Samples.vms(daemons, size - daemons).values().stream().map(VmListSlope::entry).toList();
	}

	private static VmEntry entry(Vm vm) {
		return new VmEntry(vm.name(), vm.address(), vm.adminAddress(), vm.dataCentre(), vm.weight(),
				vm.kind().name().toLowerCase(Locale.ROOT), "live");
	}

}

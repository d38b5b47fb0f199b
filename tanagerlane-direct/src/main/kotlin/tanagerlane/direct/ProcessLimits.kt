package tanagerlane.direct

import com.sun.management.UnixOperatingSystemMXBean
import tanagerlane.callers.ConnectionBound
import java.lang.management.ManagementFactory

/** Limits that the host sets to this process. */
internal object ProcessLimits {
    /** Descriptors that are assumed where the system does not tell its limit. */
    private const val ASSUMED_DESCRIPTORS = 1_024L

    /** Returns how many connections of callers this process can have. */
    fun maximumConnections(): Int {
        val system = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean
        val descriptors = system?.maxFileDescriptorCount ?: ASSUMED_DESCRIPTORS
        return ConnectionBound.defaultMaximum(descriptors, Runtime.getRuntime().maxMemory())
    }
}

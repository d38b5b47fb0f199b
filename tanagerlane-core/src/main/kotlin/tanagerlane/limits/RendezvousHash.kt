package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.RouteLimit
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.HostName

private const val OFFSET_BASIS: Long = -0x340d631b7bdddcdbL
private const val BYTE_MASK: Long = 0xff
private const val PRIME: Long = 0x100000001b3L

/** Chooses the same host on every entry that sees the same [hosts]; null where there are none. */
internal fun rendezvousHost(
    key: LimitKey,
    hosts: Set<HostName>,
): HostName? {
    val keyHash = key.stableHash()
    return hosts.maxWithOrNull(compareBy({ mix(keyHash xor fnv(it.text)) }, { it.text }))
}

/** A hash that is the same in every process. */
internal fun LimitKey.stableHash(): Long =
    when (this) {
        is WorkspaceLimit -> fnv("workspace/${workspace.text}")
        is RouteLimit -> fnv("route/${service.text}$prefix")
    }

/** FNV-1a. */
private fun fnv(text: String): Long =
    text.encodeToByteArray().fold(OFFSET_BASIS) { hash, byte -> (hash xor (byte.toLong() and BYTE_MASK)) * PRIME }

/** Finalizer of SplitMix64. */
private fun mix(value: Long): Long {
    val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
    val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
    return second xor (second ushr 31)
}

package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.RouteLimit
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.HostName

private const val FNV_OFFSET_BASIS: Long = -0x340d631b7bdddcdbL
private const val BYTE_MASK: Long = 0xff
private const val FNV_PRIME: Long = 0x100000001b3L

/** Chooses the host of the pool of [key]: the same on every entry that knows the same [hosts]; null if empty. */
internal fun rendezvousHost(
    key: LimitKey,
    hosts: Set<HostName>,
): HostName? {
    val keyHash = key.stableHash()
    return hosts.maxWithOrNull(compareBy({ mix(keyHash xor fnv1a(it.text)) }, { it.text }))
}

/** Returns a hash that is the same in every process. */
internal fun LimitKey.stableHash(): Long =
    when (this) {
        is WorkspaceLimit -> fnv1a("workspace/${workspace.text}")
        is RouteLimit -> fnv1a("route/${service.text}$prefix")
    }

/** 64-bit FNV-1a hash. */
private fun fnv1a(text: String): Long =
    text.encodeToByteArray().fold(
        FNV_OFFSET_BASIS,
    ) { hash, byte -> (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME }

/** Finalizer of SplitMix64. */
private fun mix(value: Long): Long {
    val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
    val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
    return second xor (second ushr 31)
}

package tanagerlane.direct

/** A process and its port for callers. */
internal data class StartedDaemon(
    val daemon: DirectDaemon,
    val port: Int,
)

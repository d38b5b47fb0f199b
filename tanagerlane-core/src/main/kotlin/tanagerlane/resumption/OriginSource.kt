package tanagerlane.resumption

/** From what a process knows at which software version a stream began. */
public enum class OriginSource {
    /** It has forwarded the first event itself, or was told by the process that did. */
    OWN,

    /** Another process knows. */
    PEER,

    /** The service had one version only for as long as any open stream, by what this process has seen. */
    SOLE_VERSION,

    /** The service had one version only for as long as any open stream, by what another process has seen. */
    PEER_SOLE_VERSION,
}

package tanagerlane.sidecar.engine

/** A resumed run comes from another version of the engine's software than the tokens that it should continue. */
internal class OtherVersionException(
    message: String,
) : Exception(message)

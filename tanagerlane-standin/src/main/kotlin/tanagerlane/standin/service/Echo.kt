package tanagerlane.standin.service

import kotlinx.serialization.Serializable

/** Answer of the plain service: the call that it received. */
@Serializable
public data class Echo(
    val method: String,
    val uri: String,
    val body: String,
)

package tanagerlane.wire

import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.model.Incarnation
import tanagerlane.settings.HostSettings

/** Returns the greeting of the process of [role] that [host] describes. */
public fun helloOf(
    host: HostSettings,
    role: HostRole,
    incarnation: Incarnation,
): Hello =
    Hello(
        protocolVersion = WireEndpoint.PROTOCOL_VERSION,
        host = host.name,
        role = role,
        incarnation = incarnation,
        failureDomain = host.failureDomain,
    )

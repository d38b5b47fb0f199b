package tanagerlane.runtime.configuration

import tanagerlane.model.FailureDomain
import tanagerlane.store.ObjectKey

/** Names of the objects that keep configurations. */
public object ConfigurationObjects {
    /** The configuration in force. */
    public val CURRENT: ObjectKey = ObjectKey("configuration/current")

    internal const val CONFIRMATIONS: String = "confirmations/"

    /** The revision that processes of [domain] hold, as text. */
    internal fun confirmationOf(domain: FailureDomain): ObjectKey = ObjectKey(CONFIRMATIONS + domain.text)
}

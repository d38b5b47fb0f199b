package tanagerlane.configuration

import tanagerlane.model.Revision

/**
 * Result of handling one event.
 *
 * @property messages messages to send, in order
 * @property accepted revision that came into force with the event, or null
 * @property fault reason why received content was not accepted, or null
 */
public data class ConfigurationStep(
    val messages: List<OutgoingMessage>,
    val accepted: Revision? = null,
    val fault: ConfigurationFault? = null,
)

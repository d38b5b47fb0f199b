package tanagerlane.configuration

import tanagerlane.model.Revision

/**
 * What follows from one event.
 *
 * @property messages messages to send, in their order
 * @property accepted revision that came into force by the event, or null
 * @property fault why received content was not taken, or null
 */
public data class ConfigurationStep(
    val messages: List<OutgoingMessage>,
    val accepted: Revision? = null,
    val fault: ConfigurationFault? = null,
)

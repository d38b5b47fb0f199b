package tanagerlane.configuration

import tanagerlane.model.Revision

/**
 * What follows from one event.
 *
 * @property sends messages to send, in their order
 * @property accepted revision that came into force by the event, or null
 * @property fault why received content was not taken, or null
 */
public data class ConfigurationStep(
    val sends: List<ConfigurationSend>,
    val accepted: Revision? = null,
    val fault: ConfigurationFault? = null,
)

package tanagerlane.direct

import tanagerlane.admission.WaitingSettings
import tanagerlane.places.LoadBalancerSettings
import tanagerlane.settings.DirectSettings

/** Returns how targets are selected; requests that wait in their entry need not queue at targets. */
internal fun balancing(settings: DirectSettings): LoadBalancerSettings =
    if (settings.waiting) {
        LoadBalancerSettings(queueShare = WaitingSettings().targetQueueShare)
    } else {
        LoadBalancerSettings()
    }

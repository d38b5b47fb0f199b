package tanagerlane.direct

import org.slf4j.LoggerFactory
import tanagerlane.message.CrashReport
import tanagerlane.message.ForwardedReport
import tanagerlane.message.JobReport
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.message.OriginReport
import tanagerlane.message.PlaceReport
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedReply
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.message.ViewRequest
import tanagerlane.message.ViewUpdate
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName

/**
 * Dispatches messages from other processes to the components that handle them.
 *
 * @param onPlacesReported called after a new report of the places that another process occupies
 */
internal class PeerMessages(
    private val placeReports: PlaceReports,
    private val promptGuard: PromptGuard,
    private val resumption: StreamResumption,
    private val jobIndex: JobIndex,
    private val synchronizers: Map<String, ViewSynchronizer>,
    private val resultQueries: ResultQueries,
    private val resultsClient: ResultsClient,
    private val storeRelay: StoreRelay,
    private val onPlacesReported: () -> Unit,
) {
    /** Handles [message] of [from]. */
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        when (message) {
            is PlaceReport -> onReport(placeReports.acceptAndForward(message))
            is ForwardedReport -> onReport(placeReports.acceptForwarded(message))
            is CrashReport -> promptGuard.received(message)
            is OriginReport -> resumption.received(message)
            is OriginQuery -> resumption.received(message)
            is OriginReply -> resumption.received(message)
            is JobReport -> jobIndex.updateBacklogs(message.backlog)
            is ViewUpdate -> synchronizers[message.kind]?.onUpdate(from, message)
            is ViewRequest -> synchronizers[message.kind]?.onSnapshotRequest(from)
            is ResultsQuery -> resultQueries.answer(from, message)
            is ResultsReply -> resultsClient.onReply(message)
            is RelayedCall -> storeRelay.onCall(from, message)
            is RelayedReply -> storeRelay.onReply(message)
            else -> logger.warn("unexpected message from={} type={}", from, message::class.simpleName)
        }
    }

    private fun onReport(isNew: Boolean) {
        if (isNew) {
            onPlacesReported()
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(PeerMessages::class.java)
    }
}

package tanagerlane.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [PromptQuarantine].
 *
 * @property crashesWhileBeginning number of crashes after which a part is quarantined if each time the target had begun
 *   to answer a request with it, and no answer with it is known
 * @property crashesWhileWaiting number of crashes after which a part is quarantined if requests with it were only
 *   waiting at the targets, or an answer with it is known from before
 * @property minimumSpan time from the first to the last of these crashes; targets that fail together by
 *   another cause crash within a shorter time
 * @property crashesOfRequest number of crashes, each after the request had been sent again, after which a request is
 *   quarantined
 * @property minimumSpanOfRequest time from the first to the last of these crashes
 * @property clockTolerance time by which a request may have been sent before the crash that it is said to follow, as the
 *   times of different observers differ by the transit of a report
 * @property crashWindow time within which requests lost at one target count as lost in the same crash
 * @property minimumDownTime time for which a crashed target is down at least; a request that is sent to it later and lost
 *   was lost in a further crash
 * @property initialTerm time for which a part is quarantined after [crashesWhileBeginning] crashes; a request needs more
 *   crashes, and its first term is longer accordingly
 * @property termFactor factor by which the term grows with each further crash
 * @property maximumTerm upper limit of the term
 * @property evidenceLifetime time for which evidence counts after a crash, or after the term that follows it
 * @property maximumEvidence number of lost requests that are remembered; the oldest on which no verdict rests are
 *   forgotten first
 * @property maximumAnswers number of parts, and of requests, for which the time of the latest answer is remembered
 */
public data class QuarantineSettings(
    val crashesWhileBeginning: Int = 2,
    val crashesWhileWaiting: Int = 3,
    val minimumSpan: Duration = 300.milliseconds,
    val crashesOfRequest: Int = 3,
    val minimumSpanOfRequest: Duration = 50.milliseconds,
    val clockTolerance: Duration = 20.milliseconds,
    val crashWindow: Duration = 2.seconds,
    val minimumDownTime: Duration = 200.milliseconds,
    val initialTerm: Duration = 15.seconds,
    val termFactor: Int = 4,
    val maximumTerm: Duration = 10.minutes,
    val evidenceLifetime: Duration = 2.minutes,
    val maximumEvidence: Int = 256,
    val maximumAnswers: Int = 2048,
)

package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val START = Instant.fromEpochSeconds(0)

internal fun attempt(name: String) = AttemptId(RequestId(name), 1)

internal fun entry(
    name: String,
    requestClass: RequestClass,
    workspace: String = "a",
    promptTokens: Int = 10,
    maximumTokens: Int = 10,
    weight: Int = 1,
    deadline: Duration = 60.seconds,
) = QueueEntry(
    attempt(name),
    WorkspaceName(workspace),
    requestClass,
    promptTokens,
    maximumTokens,
    weight,
    START + deadline,
)

internal fun start(
    name: String,
    resumeTokens: Int = 0,
) = QueueDecision.Start(attempt(name), resumeTokens)

internal fun preempt(name: String) = QueueDecision.Preempt(attempt(name))

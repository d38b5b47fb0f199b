package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RefusalReason

/** An action for the owner of an [AdmissionQueue]; a list of decisions is carried out in order. */
public sealed interface QueueDecision {
    /** Run the entry [id], resuming after the [resumeTokens] tokens that earlier runs produced. */
    public data class Start(
        val id: AttemptId,
        val resumeTokens: Int,
    ) : QueueDecision

    /** Cancel the run of the batch entry [id]; it is queued again and later resumes after its tokens so far. */
    public data class Preempt(
        val id: AttemptId,
    ) : QueueDecision

    /** Report to the submitter of [id] that the entry did not run and will not run. */
    public data class Refuse(
        val id: AttemptId,
        val reason: RefusalReason,
    ) : QueueDecision
}

package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RefusalReason

/** What the owner of an [AdmissionQueue] has to do, in the order of the list that holds it. */
public sealed interface QueueDecision {
    /** Run the entry [id], of which [resumeTokens] tokens have been produced before. */
    public data class Start(
        val id: AttemptId,
        val resumeTokens: Int,
    ) : QueueDecision

    /** Cancel the run of the batch entry [id]; it waits again and starts later from the tokens that it has. */
    public data class Preempt(
        val id: AttemptId,
    ) : QueueDecision

    /** Tell the entry's owner that [id] did not run and never will. */
    public data class Refuse(
        val id: AttemptId,
        val reason: RefusalReason,
    ) : QueueDecision
}

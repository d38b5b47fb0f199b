package tanagerlane.jobs

import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason

/** How one attempt of an item ended. */
public sealed interface ItemOutcome {
    /** The target answered; this becomes the item's result. */
    public data class Answered(
        val statusCode: Int,
        val body: Payload,
    ) : ItemOutcome

    /** The attempt failed; the item is tried again until its attempts are used up. */
    public data class Failed(
        val reason: RefusalReason,
    ) : ItemOutcome

    /** The item gave way or could not be run at all; this counts as no attempt. */
    public data object NotRun : ItemOutcome
}

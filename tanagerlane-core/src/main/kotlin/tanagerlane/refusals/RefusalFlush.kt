package tanagerlane.refusals

import tanagerlane.message.RefusalMinute
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion

/** A conditional write of one minute's refusals; [expected] is null when the object must not exist. */
public data class RefusalFlush(
    val key: ObjectKey,
    val value: RefusalMinute,
    val expected: ObjectVersion?,
)

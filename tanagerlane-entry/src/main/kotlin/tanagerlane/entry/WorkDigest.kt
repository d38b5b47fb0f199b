package tanagerlane.entry

import tanagerlane.message.ChatWork
import tanagerlane.message.ServiceWork
import tanagerlane.message.Work
import tanagerlane.model.Payload
import java.security.MessageDigest

/** Digest of the content of [work]; all repeats of a request must have the same digest. */
internal fun workDigest(work: Work): Payload {
    val digest = MessageDigest.getInstance("SHA-256")
    when (work) {
        is ChatWork -> {
            digest.update(work.model.text.encodeToByteArray())
            digest.update(work.body.toByteArray())
        }

        is ServiceWork -> {
            digest.update("${work.service} ${work.method} ${work.path}\n".encodeToByteArray())
            digest.update(work.body.toByteArray())
        }
    }
    return Payload.of(digest.digest())
}

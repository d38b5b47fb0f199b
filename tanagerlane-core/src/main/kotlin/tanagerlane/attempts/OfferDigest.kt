package tanagerlane.attempts

import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.message.ServiceWork
import tanagerlane.message.Work
import tanagerlane.model.Payload
import java.io.DataOutputStream
import java.io.OutputStream
import java.security.DigestOutputStream
import java.security.MessageDigest

/** SHA-256 of the content of an offer; all offers of one attempt must have the same digest. */
internal object OfferDigest {
    fun of(offer: Offer): Payload {
        val digest = MessageDigest.getInstance("SHA-256")
        DataOutputStream(DigestOutputStream(OutputStream.nullOutputStream(), digest)).use { output ->
            output.writeText(offer.workspace?.text.orEmpty())
            output.writeText(offer.requestClass.name)
            output.writeBoolean(offer.idempotent)
            output.writeWork(offer.work)
        }
        return Payload.of(digest.digest())
    }

    private fun DataOutputStream.writeWork(work: Work) =
        when (work) {
            is ChatWork -> writeChat(work)
            is ServiceWork -> writeService(work)
        }

    private fun DataOutputStream.writeChat(work: ChatWork) {
        writeText(work.model.text)
        writeBytes(work.body.toByteArray())
        writeBoolean(work.streamed)
        writeInt(work.maximumTokens)
    }

    private fun DataOutputStream.writeService(work: ServiceWork) {
        writeText(work.service.text)
        writeText(work.method)
        writeText(work.path)
        work.headers.forEach {
            writeText(it.name)
            writeText(it.value)
        }
        writeBytes(work.body.toByteArray())
    }

    private fun DataOutputStream.writeText(text: String) = writeBytes(text.encodeToByteArray())

    private fun DataOutputStream.writeBytes(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
    }
}

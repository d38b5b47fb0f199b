package tanagerlane.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import tanagerlane.membership.Member
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps the object by which other processes find this one. */
public class MemberRegistration(
    private val store: ObjectStore,
    private val retryInterval: Duration = 1.seconds,
) {
    /** Writes [member], trying until it succeeds. */
    public suspend fun register(member: Member) {
        val value = StoredDocuments.encode(Member.serializer(), member)
        while (true) {
            val version = currentVersion(member)
            if (version.isOk && store.put(keyOf(member), value, version.get()?.version).isOk) {
                logger.info("registered {}", member)
                return
            }
            delay(retryInterval)
        }
    }

    /** Removes [member] if it is still registered in this incarnation; gives up when the store fails. */
    public suspend fun remove(member: Member) {
        val stored = store.get(keyOf(member)).getOrElse { return }
        val registered = StoredDocuments.decode(Member.serializer(), stored.value).getOrElse { return }
        if (registered.incarnation == member.incarnation) {
            store.delete(stored.key, stored.version)
        }
    }

    private suspend fun currentVersion(member: Member): Result<CurrentVersion, StoreFailure> =
        store.get(keyOf(member)).mapBoth(
            success = { Ok(CurrentVersion(it.version)) },
            failure = { absentOr(it) },
        )

    private fun absentOr(failure: StoreFailure): Result<CurrentVersion, StoreFailure> =
        if (failure is StoreFailure.NotFound) {
            Ok(CurrentVersion(null))
        } else {
            Err(failure)
        }

    /** Version of a registration, or null where there is none. */
    private data class CurrentVersion(
        val version: ObjectVersion?,
    )

    public companion object {
        /** Prefix of all registrations. */
        public const val PREFIX: String = "members/"

        /** Reads the registrations in [objects]; those that can't be read are left out. */
        public fun membersIn(objects: Collection<StoredObject>): List<Member> =
            objects.mapNotNull { StoredDocuments.decode(Member.serializer(), it.value).get() }

        private val logger = LoggerFactory.getLogger(MemberRegistration::class.java)

        internal fun keyOf(member: Member): ObjectKey =
            ObjectKey("$PREFIX${member.role.name.lowercase()}/${member.host.text}")
    }
}

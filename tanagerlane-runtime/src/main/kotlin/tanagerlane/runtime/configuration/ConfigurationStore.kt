package tanagerlane.runtime.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.delay
import tanagerlane.configuration.ConfigurationCodec
import tanagerlane.inventory.AcceptedChange
import tanagerlane.inventory.CallerKey
import tanagerlane.inventory.Configuration
import tanagerlane.inventory.Inventory
import tanagerlane.model.FailureDomain
import tanagerlane.model.Revision
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Changes the configuration by conditional updates.
 *
 * A change that lost a race is made again on what the other writer left. Each change carries an identity, by which a
 * writer whose answer was lost finds out whether its change took effect.
 *
 * @param newIdentity draws an identity that no other change has
 */
public class ConfigurationStore(
    private val store: ObjectStore,
    private val newIdentity: () -> String,
    private val retryInterval: Duration = 200.milliseconds,
) {
    /** Reads the configuration. */
    public suspend fun read(): Result<StoredConfiguration, ConfigurationFailure> {
        val stored = store.get(ConfigurationObjects.CURRENT).getOrElse { return Err(readFailure(it)) }
        return ConfigurationCodec
            .decode(stored.value)
            .map { StoredConfiguration(it, stored.version) }
            .mapError { ConfigurationFailure.Unreadable(it) }
    }

    private fun readFailure(failure: StoreFailure): ConfigurationFailure =
        if (failure is StoreFailure.NotFound) {
            ConfigurationFailure.NoConfiguration
        } else {
            ConfigurationFailure.NotRead(
                failure,
            )
        }

    /**
     * Replaces the inventory, which must have been checked; keys of workspaces that it lacks are withdrawn with it.
     *
     * @param base revision that the operator's inventory was made from, or null for the one in force at the first read
     */
    public suspend fun applyInventory(
        inventory: Inventory,
        base: Revision? = null,
    ): Result<Revision, ConfigurationFailure> {
        var known = base
        return change { current ->
            val from = known ?: current.revision
            known = from
            if (current.inventoryRevision.number > from.number) {
                Err(ConfigurationFailure.StaleBase(from, current.inventoryRevision))
            } else {
                Ok(current.with(inventory))
            }
        }
    }

    private fun Configuration.with(inventory: Inventory): Configuration {
        val workspaces = inventory.workspaces.map { it.name }.toSet()
        return copy(inventory = inventory, keys = keys.filter { it.workspace in workspaces })
    }

    /** Adds [key]; adding it again changes nothing. */
    public suspend fun issueKey(key: CallerKey): Result<Revision, ConfigurationFailure> =
        change { current ->
            val label = current.keys.find { it.workspace == key.workspace && it.label == key.label }
            when {
                key in current.keys -> Ok(current)

                label != null -> Err(ConfigurationFailure.DuplicateLabel(key.workspace, key.label))

                current.inventory.workspaces.none {
                    it.name == key.workspace
                } -> Err(ConfigurationFailure.UnknownWorkspace(key.workspace))

                else -> Ok(current.copy(keys = current.keys + key))
            }
        }

    /** Removes the key of [workspace] that has this [label]. */
    public suspend fun withdrawKey(
        workspace: WorkspaceName,
        label: String,
    ): Result<Revision, ConfigurationFailure> =
        change { current ->
            val key = current.keys.find { it.workspace == workspace && it.label == label }
            if (key ==
                null
            ) {
                Err(ConfigurationFailure.UnknownKey(workspace, label))
            } else {
                Ok(
                    current.copy(
                        keys =
                            current.keys - key,
                    ),
                )
            }
        }

    /** Waits up to [wait] until processes of most failure domains have confirmed that they hold [revision] or a later one. */
    public suspend fun awaitConfirmation(
        revision: Revision,
        wait: Duration,
    ): Result<Unit, ConfigurationFailure> {
        val domains =
            read()
                .getOrElse { return Err(it) }
                .configuration.inventory.sites
                .flatMap { it.failureDomains }
        var waited = Duration.ZERO
        while (true) {
            val holding = confirmations().getOrElse { emptyList() }.filter { it.revision.number >= revision.number }
            val silent = domains - holding.map { it.domain }.toSet()
            if (silent.size * 2 < domains.size) return Ok(Unit)
            if (waited >= wait) return Err(ConfigurationFailure.NotConfirmed(revision, silent))
            delay(retryInterval)
            waited += retryInterval
        }
    }

    /** Reads which revision each failure domain has confirmed. */
    public suspend fun confirmations(): Result<List<Confirmation>, ConfigurationFailure> =
        store
            .list(ConfigurationObjects.CONFIRMATIONS)
            .map { listing -> listing.objects.map(::confirmationOf) }
            .mapError { ConfigurationFailure.NotRead(it) }

    private fun confirmationOf(stored: StoredObject): Confirmation =
        Confirmation(
            domain = FailureDomain(stored.key.path.removePrefix(ConfigurationObjects.CONFIRMATIONS)),
            revision = Revision(stored.value.toText().toLongOrNull() ?: 0),
        )

    private suspend fun change(edit: ConfigurationEdit): Result<Revision, ConfigurationFailure> {
        val identity = newIdentity()
        var last: StoreFailure = StoreFailure.Unavailable("not tried")
        var inDoubt = false
        repeat(ATTEMPTS) {
            when (val outcome = attempt(identity, edit)) {
                is Attempt.Settled -> return outcome.result
                is Attempt.Failed -> last = outcome.failure
            }
            inDoubt = inDoubt || last is StoreFailure.OutcomeUnknown
            delay(retryInterval)
        }
        return Err(if (inDoubt) ConfigurationFailure.OutcomeUnknown(last) else ConfigurationFailure.NotMade(last))
    }

    private suspend fun attempt(
        identity: String,
        edit: ConfigurationEdit,
    ): Attempt {
        val stored = store.get(ConfigurationObjects.CURRENT)
        val failure = stored.getError()
        if (failure != null && failure !is StoreFailure.NotFound) {
            return Attempt.Failed(failure)
        }
        val decoded = stored.get()?.let { ConfigurationCodec.decode(it.value) } ?: Ok(EMPTY)
        val current = decoded.getOrElse { return Attempt.Settled(Err(ConfigurationFailure.Unreadable(it))) }
        val earlier = current.accepted.find { it.identity == identity }
        if (earlier != null) {
            return Attempt.Settled(Ok(earlier.revision))
        }
        val edited = edit(current).getOrElse { return Attempt.Settled(Err(it)) }
        if (edited == current) {
            return Attempt.Settled(Ok(current.revision))
        }
        return write(following(current, edited, identity), stored.get()?.version)
    }

    private suspend fun write(
        next: Configuration,
        expected: ObjectVersion?,
    ): Attempt =
        store.put(ConfigurationObjects.CURRENT, ConfigurationCodec.encode(next), expected).mapBoth(
            success = { Attempt.Settled(Ok(next.revision)) },
            failure = {
                if (it is StoreFailure.TooLarge) {
                    Attempt.Settled(
                        Err(ConfigurationFailure.NotMade(it)),
                    )
                } else {
                    Attempt.Failed(it)
                }
            },
        )

    private fun following(
        current: Configuration,
        edited: Configuration,
        identity: String,
    ): Configuration {
        val revision = Revision(current.revision.number + 1)
        return edited.copy(
            revision = revision,
            inventoryRevision = if (edited.inventory == current.inventory) current.inventoryRevision else revision,
            accepted =
                (
                    current.accepted +
                        AcceptedChange(
                            identity,
                            revision,
                        )
                ).takeLast(ConfigurationCodec.MAXIMUM_ACCEPTED_CHANGES),
        )
    }

    /** How one attempt to make a change ended. */
    private sealed interface Attempt {
        /** The change was made, or certainly was not and will not be. */
        data class Settled(
            val result: Result<Revision, ConfigurationFailure>,
        ) : Attempt

        /** The store failed or another writer came first. */
        data class Failed(
            val failure: StoreFailure,
        ) : Attempt
    }

    private companion object {
        const val ATTEMPTS = 10
        val EMPTY =
            Configuration(
                revision = Revision(0),
                inventory =
                    Inventory(
                        deployment = "",
                        sites = emptyList(),
                        targets = emptyList(),
                        workspaces = emptyList(),
                    ),
                keys = emptyList(),
            )
    }
}

private typealias ConfigurationEdit = (Configuration) -> Result<Configuration, ConfigurationFailure>

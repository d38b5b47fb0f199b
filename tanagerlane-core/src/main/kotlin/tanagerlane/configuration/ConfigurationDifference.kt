package tanagerlane.configuration

import tanagerlane.inventory.Configuration
import tanagerlane.inventory.Inventory
import tanagerlane.message.ConfigurationChange

/** Returns the change from [from] to [to], or null if their entries differ in order, which a change can't express. */
internal fun differenceOf(
    from: Configuration,
    to: Configuration,
): ConfigurationChange? {
    val old = from.inventory
    val new = to.inventory
    val change =
        ConfigurationChange(
            base = from.revision,
            revision = to.revision,
            inventoryRevision = to.inventoryRevision,
            deployment = new.deployment.takeIf { it != old.deployment },
            sites = new.sites.takeIf { it != old.sites },
            models = new.models.takeIf { it != old.models },
            services = new.services.takeIf { it != old.services },
            rules = new.rules.takeIf { it != old.rules },
            targets = changed(old.targets, new.targets),
            removedTargets = removed(old.targets, new.targets) { it.name },
            workspaces = changed(old.workspaces, new.workspaces),
            removedWorkspaces = removed(old.workspaces, new.workspaces) { it.name },
            keys = changed(from.keys, to.keys),
            removedKeys = removed(from.keys, to.keys) { it.digest },
            accepted = changed(from.accepted, to.accepted),
        )
    return change.takeIf { from.withChange(it) == to }
}

/** Returns this configuration with [change] applied; this configuration must be its base. */
internal fun Configuration.withChange(change: ConfigurationChange): Configuration {
    require(
        change.base == revision,
    ) { "change is based on revision ${change.base} but the current revision is $revision" }
    return Configuration(
        revision = change.revision,
        inventory = inventory.withChange(change),
        keys = merged(keys, change.keys, change.removedKeys) { it.digest },
        inventoryRevision = change.inventoryRevision,
        accepted = (accepted + change.accepted).takeLast(ConfigurationCodec.MAXIMUM_ACCEPTED_CHANGES),
    )
}

private fun Inventory.withChange(change: ConfigurationChange): Inventory =
    Inventory(
        deployment = change.deployment ?: deployment,
        sites = change.sites ?: sites,
        models = change.models ?: models,
        services = change.services ?: services,
        targets = merged(targets, change.targets, change.removedTargets) { it.name },
        workspaces = merged(workspaces, change.workspaces, change.removedWorkspaces) { it.name },
        rules = change.rules ?: rules,
    )

private fun <T> changed(
    from: List<T>,
    to: List<T>,
): List<T> {
    val old = from.toSet()
    return to.filterNot { it in old }
}

private fun <T, K> removed(
    from: List<T>,
    to: List<T>,
    key: (T) -> K,
): List<K> {
    val kept = to.map(key).toSet()
    return from.map(key).filterNot { it in kept }
}

private fun <T, K> merged(
    base: List<T>,
    changed: List<T>,
    removed: List<K>,
    key: (T) -> K,
): List<T> {
    val replacements = changed.associateBy(key)
    val removedKeys = removed.toSet()
    val present = base.map(key).toSet()
    val kept = base.filterNot { key(it) in removedKeys }.map { replacements[key(it)] ?: it }
    return kept + changed.filterNot { key(it) in present }
}

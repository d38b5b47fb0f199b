package tanagerlane.configuration

import tanagerlane.inventory.Inventory
import tanagerlane.inventory.Model
import tanagerlane.inventory.Rules
import tanagerlane.inventory.Service
import tanagerlane.inventory.ServiceRoute
import tanagerlane.inventory.Site
import tanagerlane.inventory.Target
import tanagerlane.inventory.Workspace
import kotlin.time.Duration

private val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
private val AT_LEAST_ONE = 1..Int.MAX_VALUE

/** Checks what the structure of an [inventory] cannot say: ranges, unique names and references. */
internal fun checkInventory(
    inventory: Inventory,
    faults: FaultCollector,
) {
    faults.validName("deployment", inventory.deployment)
    checkSites(inventory.sites, faults)
    checkModels(inventory.models, faults)
    checkServices(inventory.services, faults)
    checkTargets(inventory, faults)
    checkWorkspaces(inventory.workspaces, faults)
    checkRules(inventory.rules, faults)
}

private fun checkSites(
    sites: List<Site>,
    faults: FaultCollector,
) {
    checkNames(sites.map { it.name }, "sites", faults)
    val domains = sites.flatMap { it.failureDomains }.map { it.text }
    val paths =
        sites.flatMapIndexed {
            site,
            value,
            ->
            value.failureDomains.indices.map { "sites[$site].failureDomains[$it]" }
        }
    faults.unique(domains) { paths[it] }
    domains.forEachIndexed { place, name -> faults.validName(paths[place], name) }
}

private fun checkModels(
    models: List<Model>,
    faults: FaultCollector,
) {
    checkNames(models.map { it.name.text }, "models", faults)
    models.forEachIndexed { place, model ->
        faults.inRange("models[$place].maximumTokens", model.maximumTokens, AT_LEAST_ONE)
    }
}

private fun checkServices(
    services: List<Service>,
    faults: FaultCollector,
) {
    checkNames(services.map { it.name.text }, "services", faults)
    services.forEachIndexed { place, service ->
        val path = "services[$place].routes"
        faults.unique(service.routes.map { it.prefix }) { "$path[$it].prefix" }
        service.routes.forEachIndexed { number, route -> checkRoute(route, "$path[$number]", faults) }
    }
}

private fun checkRoute(
    route: ServiceRoute,
    path: String,
    faults: FaultCollector,
) {
    if (!route.prefix.startsWith("/")) {
        faults.outOfRange("$path.prefix", "\"${route.prefix}\"", "a path with a leading slash")
    }
    route.methods.forEachIndexed {
        place,
        method,
        ->
        faults.declared("$path.methods[$place]", "HTTP method", method, METHODS)
    }
    route.repeatable.forEachIndexed { place, method ->
        faults.declared("$path.repeatable[$place]", "method of the route", method, route.methods.toSet())
    }
    if (route.open) {
        checkRate(route.rate, route.burst, path, faults)
    } else if (route.rate != 0.0 || route.burst != 0) {
        faults.outOfRange("$path.rate", route.rate, "a rate and burst only on an open route")
    }
}

private fun checkTargets(
    inventory: Inventory,
    faults: FaultCollector,
) {
    val domains =
        inventory.sites
            .flatMap { it.failureDomains }
            .map { it.text }
            .toSet()
    val models = inventory.models.map { it.name.text }.toSet()
    val services = inventory.services.map { it.name.text }.toSet()
    checkNames(inventory.targets.map { it.name.text }, "targets", faults)
    inventory.targets.forEachIndexed { place, target ->
        val path = "targets[$place]"
        checkOffer(target, path, faults)
        faults.declared("$path.failureDomain", "failure domain", target.failureDomain.text, domains)
        target.models.forEachIndexed {
            number,
            name,
            ->
            faults.declared("$path.models[$number]", "model", name.text, models)
        }
        target.services.forEachIndexed { number, name ->
            faults.declared("$path.services[$number]", "service", name.text, services)
        }
    }
}

private fun checkOffer(
    target: Target,
    path: String,
    faults: FaultCollector,
) {
    faults.inRange("$path.window", target.window, AT_LEAST_ONE)
    if (target.models.isEmpty() && target.services.isEmpty()) {
        faults.outOfRange("$path.models", "no model and no service", "at least one of either")
    }
}

private fun checkWorkspaces(
    workspaces: List<Workspace>,
    faults: FaultCollector,
) {
    checkNames(workspaces.map { it.name.text }, "workspaces", faults)
    workspaces.forEachIndexed { place, workspace ->
        checkRate(workspace.rate, workspace.burst, "workspaces[$place]", faults)
        faults.inRange("workspaces[$place].weight", workspace.weight, AT_LEAST_ONE)
    }
}

private fun checkRules(
    rules: Rules,
    faults: FaultCollector,
) {
    if (rules.onlineDeadline <= Duration.ZERO) {
        faults.outOfRange("rules.onlineDeadline", rules.onlineDeadline, "a positive duration")
    }
    if (rules.retryRatio !in 0.0..1.0) {
        faults.outOfRange("rules.retryRatio", rules.retryRatio, "0 to 1")
    }
    faults.inRange("rules.maximumBodyBytes", rules.maximumBodyBytes, AT_LEAST_ONE)
    faults.inRange("rules.itemAttempts", rules.itemAttempts, AT_LEAST_ONE)
}

private fun checkRate(
    rate: Double,
    burst: Int,
    path: String,
    faults: FaultCollector,
) {
    if (rate <= 0) {
        faults.outOfRange("$path.rate", rate, "a positive number of requests a second")
    }
    faults.inRange("$path.burst", burst, AT_LEAST_ONE)
}

private fun checkNames(
    names: List<String>,
    path: String,
    faults: FaultCollector,
) {
    names.forEachIndexed { place, name -> faults.validName("$path[$place].name", name) }
    faults.unique(names) { "$path[$it].name" }
}

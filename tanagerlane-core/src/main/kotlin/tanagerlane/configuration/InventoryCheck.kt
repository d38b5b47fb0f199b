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

/** Checks what the type of [inventory] does not express: ranges of values, unique names and references. */
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
    domains.forEachIndexed { index, name -> faults.validName(paths[index], name) }
}

private fun checkModels(
    models: List<Model>,
    faults: FaultCollector,
) {
    checkNames(models.map { it.name.text }, "models", faults)
    models.forEachIndexed { index, model ->
        faults.inRange("models[$index].maximumTokens", model.maximumTokens, AT_LEAST_ONE)
    }
}

private fun checkServices(
    services: List<Service>,
    faults: FaultCollector,
) {
    checkNames(services.map { it.name.text }, "services", faults)
    services.forEachIndexed { index, service ->
        val path = "services[$index].routes"
        faults.unique(service.routes.map { it.prefix }) { "$path[$it].prefix" }
        service.routes.forEachIndexed { routeIndex, route -> checkRoute(route, "$path[$routeIndex]", faults) }
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
        index,
        method,
        ->
        faults.declared("$path.methods[$index]", "HTTP method", method, METHODS)
    }
    route.repeatable.forEachIndexed { index, method ->
        faults.declared("$path.repeatable[$index]", "method of the route", method, route.methods.toSet())
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
    inventory.targets.forEachIndexed { index, target ->
        val path = "targets[$index]"
        checkCapacity(target, path, faults)
        faults.declared("$path.failureDomain", "failure domain", target.failureDomain.text, domains)
        target.models.forEachIndexed {
            modelIndex,
            name,
            ->
            faults.declared("$path.models[$modelIndex]", "model", name.text, models)
        }
        target.services.forEachIndexed { serviceIndex, name ->
            faults.declared("$path.services[$serviceIndex]", "service", name.text, services)
        }
    }
}

private fun checkCapacity(
    target: Target,
    path: String,
    faults: FaultCollector,
) {
    faults.inRange("$path.window", target.window, AT_LEAST_ONE)
    if (target.models.isEmpty() && target.services.isEmpty()) {
        faults.outOfRange("$path.models", "no model and no service", "at least one model or service")
    }
}

private fun checkWorkspaces(
    workspaces: List<Workspace>,
    faults: FaultCollector,
) {
    checkNames(workspaces.map { it.name.text }, "workspaces", faults)
    workspaces.forEachIndexed { index, workspace ->
        checkRate(workspace.rate, workspace.burst, "workspaces[$index]", faults)
        faults.inRange("workspaces[$index].weight", workspace.weight, AT_LEAST_ONE)
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
    names.forEachIndexed { index, name -> faults.validName("$path[$index].name", name) }
    faults.unique(names) { "$path[$it].name" }
}

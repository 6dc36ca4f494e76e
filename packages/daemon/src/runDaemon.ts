import { connectPlatform } from '@gypsumspring/adapters'
import { throwUncaught, RpcServer, type Member, type RpcHandlers } from '@gypsumspring/protocol'
import { CachedInventory } from './cachedInventory/index.ts'
import { ConfigurationStore, ConfigurationUpdater } from './configuration/index.ts'
import { Lifecycle } from './lifecycle/index.ts'
import { createComponentLogger, type Logger } from './logging/index.ts'
import { GossipMembership } from './membership/index.ts'
import { Metrics } from './metrics/index.ts'
import { PeerConnections } from './peers/index.ts'
import type { Settings } from './settings/index.ts'
import type { ProcessContext } from './types.ts'

/** Time for which all components share one inventory response, as a fraction of the inventory poll interval. */
const INVENTORY_CACHE_FRACTION = 0.5

/**
 * Runs the role named in the settings until SIGTERM or SIGINT, then stops its components in reverse order.
 *
 * @param settings - Validated settings.
 * @param logger - Root logger.
 * @returns Resolves once all components have started; the process then runs until a signal.
 */
export async function runDaemon (settings: Settings, logger: Logger): Promise<void> {
  const log = createComponentLogger(logger, 'process')
  const { context, membership } = createContext(settings, logger)
  // Loads only the code of the configured role, to keep the resident memory of a scheduler within its target.
  if (settings.role === 'entry') (await import('./entry/addEntryComponents.ts')).addEntryComponents(context)
  else (await import('./scheduler/addSchedulerComponents.ts')).addSchedulerComponents(context)
  // Added last and therefore stopped first: peers stop choosing this process before it starts to refuse requests.
  context.lifecycle.add({ name: 'leaving', stop: () => membership.announce() })
  stopOnSignal(context, log)
  await context.lifecycle.start()
  log.info({ ready: true, role: settings.role, rpcAddress: context.rpcAddress }, 'started')
}

/** Creates the components that every role has: RPC server, peer connections, membership and configuration. */
function createContext (settings: Settings, logger: Logger): { context: ProcessContext, membership: GossipMembership } {
  const { id, failureDomain, platformUrl, storeTimeoutMs } = settings
  const metrics = new Metrics()
  const lifecycle = new Lifecycle()
  const inventoryLog = createComponentLogger(logger, 'inventory')
  const connected = connectPlatform({
    platformUrl,
    storeTimeoutMs,
    onMalformedMachine: (machine) => inventoryLog.warn({ machine }, 'machine in the inventory is malformed and was ignored')
  })
  const inventory = new CachedInventory(connected.inventory, settings.inventoryMs * INVENTORY_CACHE_FRACTION)
  const platform = { ...connected, inventory }
  const configuration = new ConfigurationStore()
  const peers = new PeerConnections({ from: id, version: () => configuration.version })
  const handlers: RpcHandlers = {}
  const membership = new GossipMembership({
    ...settings,
    self: () => describeSelf(context),
    inventory,
    peers,
    metrics,
    log: createComponentLogger(logger, 'members'),
    onPeerVersion: (version, address) => configurationUpdater.handlePeerVersion(version, address)
  })
  const configurationUpdater = new ConfigurationUpdater({
    id,
    failureDomain,
    platform,
    members: membership,
    peers,
    store: configuration,
    metrics,
    log: createComponentLogger(logger, 'config'),
    configPollMs: settings.configPollMs
  })
  const context: ProcessContext = {
    settings,
    logger,
    metrics,
    lifecycle,
    incarnation: crypto.randomUUID(),
    platform,
    configuration,
    members: membership,
    peers,
    handlers,
    rpcAddress: '',
    leaving: false
  }
  Object.assign(handlers, {
    'peer.exchange': (params) => membership.receiveExchange(params),
    'config.fetch': (params) => configurationUpdater.receiveFetch(params),
    'config.manifest': (params) => configurationUpdater.receiveManifest(params)
  } satisfies RpcHandlers)
  lifecycle.add({ name: 'platform', stop: () => platform.close() })
  lifecycle.add({ name: 'peers', stop: () => peers.close() })
  lifecycle.add(createRpcComponent(context, (from, version) => {
    const address = membership.find(from)?.address
    if (address !== undefined) configurationUpdater.handlePeerVersion(version, address)
  }))
  lifecycle.add({
    name: 'members',
    // Contacts every address before the first configuration comes into force, to find the newest version known.
    start: async () => {
      await membership.discover()
      membership.start()
    },
    stop: () => membership.stop()
  })
  lifecycle.add({ name: 'config', start: () => configurationUpdater.start(), stop: () => configurationUpdater.stop() })
  return { context, membership }
}

/** Creates the RPC server with the handlers of all components. Reports the configuration version in each request. */
function createRpcComponent (context: ProcessContext, onVersion: (from: string, version: number) => void) {
  const { settings, logger, metrics, handlers } = context
  const log = createComponentLogger(logger, 'rpc')
  let server: RpcServer
  return {
    name: 'rpc',
    start: async () => {
      server = new RpcServer(withVersionObserver(handlers, onVersion), {
        onFault: (fault, detail) => {
          metrics.count('rpc_faults', { fault })
          log.warn({ fault, detail }, 'request rejected')
        }
      })
      const port = await server.listen(settings.rpcPort, settings.host)
      context.rpcAddress = `${settings.host}:${port}`
    },
    stop: () => server.close()
  }
}

function withVersionObserver (handlers: RpcHandlers, onVersion: (from: string, version: number) => void): RpcHandlers {
  const observed = Object.entries(handlers).map(([method, handler]) => [method, (params: never) => {
    const { from, configVersion } = params as { from: string, configVersion: number }
    onVersion(from, configVersion)
    return handler(params)
  }])
  return Object.fromEntries(observed) as RpcHandlers
}

function describeSelf ({ settings, rpcAddress, incarnation, leaving, configuration }: ProcessContext): Member {
  return {
    id: settings.id,
    role: settings.role,
    failureDomain: settings.failureDomain,
    address: rpcAddress,
    incarnation,
    leaving,
    configVersion: configuration.version,
    ageMs: 0
  }
}

function stopOnSignal (context: ProcessContext, log: Logger): void {
  const stop = async (signal: string) => {
    if (context.leaving) return
    context.leaving = true
    log.info({ signal }, 'stopping')
    const timer = setTimeout(() => {
      log.error('graceful shutdown timed out')
      process.exit(1)
    }, context.settings.shutdownMs)
    await context.lifecycle.stop()
    clearTimeout(timer)
    log.info('stopped')
    process.exit(0)
  }
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => { stop(signal).catch(throwUncaught) })
  }
}

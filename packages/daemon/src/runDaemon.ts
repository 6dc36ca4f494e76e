import { connectPlatform } from '@gypsumspring/adapters'
import { throwUncaught, RpcServer, type Member, type RpcHandlers } from '@gypsumspring/protocol'
import { ConfigurationStore, ConfigurationTask } from './configuration/index.ts'
import { Lifecycle } from './lifecycle/index.ts'
import { createPartLogger, type Logger } from './logging/index.ts'
import { MembershipTask } from './membership/index.ts'
import { Metrics } from './metrics/index.ts'
import { PeerConnections } from './peers/index.ts'
import type { Settings } from './settings/index.ts'
import { SharedInventory } from './sharedInventory/index.ts'
import type { ProcessContext } from './types.ts'

/** Share of the time between reads of the list of VMs for which one answer serves all parts of the process. */
const INVENTORY_SHARED = 0.5

/**
 * Runs the role named in the settings until SIGTERM or SIGINT, then stops its parts in reverse order.
 *
 * @param settings - Checked settings.
 * @param logger - Root logger.
 * @returns Nothing; the process goes on until a signal.
 */
export async function runDaemon (settings: Settings, logger: Logger): Promise<void> {
  const log = createPartLogger(logger, 'process')
  const { context, members } = createContext(settings, logger)
  // Only the role's own code is loaded, to keep the resident memory of a scheduler within its target.
  if (settings.role === 'entry') (await import('./entry/addEntryParts.ts')).addEntryParts(context)
  else (await import('./scheduler/addSchedulerParts.ts')).addSchedulerParts(context)
  // Stopped first, so that peers stop choosing this process before it refuses anything.
  context.lifecycle.add({ name: 'leaving', stop: () => members.announce() })
  stopOnSignal(context, log)
  await context.lifecycle.start()
  log.info({ ready: true, role: settings.role, rpcAddress: context.rpcAddress }, 'started')
}

/** Makes the parts that every role has: RPC server, peers, membership and configuration. */
function createContext (settings: Settings, logger: Logger): { context: ProcessContext, members: MembershipTask } {
  const { id, failureDomain, platformUrl, storeTimeoutMs } = settings
  const metrics = new Metrics()
  const lifecycle = new Lifecycle()
  const connected = connectPlatform({ platformUrl, storeTimeoutMs })
  const inventory = new SharedInventory(connected.inventory, settings.inventoryMs * INVENTORY_SHARED)
  const platform = { ...connected, inventory }
  const configuration = new ConfigurationStore()
  const peers = new PeerConnections({ from: id, version: () => configuration.version })
  const handlers: RpcHandlers = {}
  const members = new MembershipTask({
    ...settings,
    self: () => describeSelf(context),
    inventory,
    peers,
    metrics,
    log: createPartLogger(logger, 'members'),
    onVersion: (version, address) => configurationTask.hear(version, address)
  })
  const configurationTask = new ConfigurationTask({
    id,
    failureDomain,
    platform,
    members,
    peers,
    store: configuration,
    metrics,
    log: createPartLogger(logger, 'config'),
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
    members,
    peers,
    handlers,
    rpcAddress: '',
    leaving: false
  }
  Object.assign(handlers, {
    'peer.exchange': (params) => members.receive(params),
    'config.fetch': (params) => configurationTask.receiveFetch(params),
    'config.manifest': (params) => configurationTask.receiveManifest(params)
  } satisfies RpcHandlers)
  lifecycle.add({ name: 'platform', stop: () => platform.close() })
  lifecycle.add({ name: 'peers', stop: () => peers.close() })
  lifecycle.add(createRpcPart(context, (from, version) => {
    const address = members.find(from)?.address
    if (address !== undefined) configurationTask.hear(version, address)
  }))
  lifecycle.add({
    name: 'members',
    // Asking every address before the first configuration is put in force finds the newest version that is known.
    start: async () => {
      await members.discover()
      members.start()
    },
    stop: () => members.stop()
  })
  lifecycle.add({ name: 'config', start: () => configurationTask.start(), stop: () => configurationTask.stop() })
  return { context, members }
}

/** The RPC server with the handlers of all parts; every request's configuration version is taken note of. */
function createRpcPart (context: ProcessContext, onVersion: (from: string, version: number) => void) {
  const { settings, logger, metrics, handlers } = context
  const log = createPartLogger(logger, 'rpc')
  let server: RpcServer
  return {
    name: 'rpc',
    start: async () => {
      server = new RpcServer(observeVersions(handlers, onVersion), {
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

function observeVersions (handlers: RpcHandlers, onVersion: (from: string, version: number) => void): RpcHandlers {
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
      log.error('graceful shutdown took too long')
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

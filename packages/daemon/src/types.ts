import type { Platform } from '@gypsumspring/adapters'
import type {
  Configuration, Member, Outcome, RpcHandlers, RpcMethod, RpcParams, RpcResult
} from '@gypsumspring/protocol'
import type { Lifecycle } from './lifecycle/index.ts'
import type { Logger } from './logging/index.ts'
import type { Metrics } from './metrics/index.ts'
import type { Settings } from './settings/index.ts'

/** The configuration in force in this process. Its version never falls. */
export interface ConfigurationView {
  /** Undefined until a version was learned that is certainly not older than one served before. */
  readonly current: Configuration | undefined
  /** 0 while `current` is undefined. */
  readonly version: number
  /** Calls the listener at each change, and at once when one is in force; returns the unsubscribe function. */
  subscribe (listener: (configuration: Configuration) => void): () => void
}

/** The other processes of the cell, from the list of VMs and from exchanges between peers. */
export interface Membership {
  /** Members heard of recently, without this process, in id order. */
  members (): Member[]
  find (id: string): Member | undefined
}

/** Calls to other processes of the cell; fills in the sender's fields. */
export interface Peers {
  call<Method extends RpcMethod> (
    address: string,
    method: Method,
    params: Omit<RpcParams<Method>, 'from' | 'configVersion'>,
    options?: { timeoutMs?: number }
  ): Promise<Outcome<RpcResult<Method>>>
}

/** What every part of a process is given. */
export interface ProcessContext {
  settings: Settings
  logger: Logger
  metrics: Metrics
  lifecycle: Lifecycle
  /** Changes at each start of the process, so that peers can tell a restart from a reconnect. */
  incarnation: string
  platform: Platform
  configuration: ConfigurationView
  members: Membership
  peers: Peers
  /** Parts add the RPC methods that they serve here before the process starts listening. */
  handlers: RpcHandlers
  /** Address under which peers reach this process; known once the RPC server listens. */
  rpcAddress: string
  /** Set when the process starts to shut down; announced to peers. */
  leaving: boolean
}
